import type { Random } from '../../request/random.js'
import type { DecisionModules } from '../dispatch/decisionModules.js'
import type { DecisionRecorder } from '../dispatch/decisionRecorder.js'
import type { HostDirectory } from '../dispatch/hostDirectory.js'
import type { HostIdentity } from '../dispatch/hostIdentity.js'
import { HomeRelay } from '../dispatch/homeRelay.js'
import { PeerForwarder } from '../dispatch/peerForwarder.js'
import type { PeerLinks } from '../dispatch/peerLinks.js'
import { PeerRequests } from '../dispatch/peerRequests.js'
import { makeSender } from '../dispatch/makeSender.js'
import { RequestExecutor } from '../dispatch/requestExecutor.js'
import { RequestHandler } from '../dispatch/requestHandler.js'
import { RequestPlacer } from '../dispatch/requestPlacer.js'
import { Services } from '../dispatch/services.js'
import type { SlotPool } from '../dispatch/slotPool.js'
import type { TargetSender } from '../dispatch/targetSender.js'
import { TargetRunner } from '../dispatch/targetRunner.js'
import { AttemptTable } from '../journal/attemptTable.js'
import { Journal } from '../journal/journal.js'
import type { Clock } from '../platform/clock.js'
import type { HostSettings } from '../settings/hostSettings.js'

interface RequestPathOptions {
  requests: HostSettings['requests']
  identity: HostIdentity
  clock: Clock
  random: Random
  modules: DecisionModules
  recorder: DecisionRecorder
  slots: SlotPool
  directory: HostDirectory
  links: PeerLinks
  targets: TargetSender
}

interface RequestPath {
  services: Services
  journal: Journal
  runner: TargetRunner
  handler: RequestHandler
  peerRequests: PeerRequests
}

/** Bytes of answers that the journal keeps: a quarter of the memory that a host may use for control data. */
const MAX_JOURNAL_BYTES = 64 * 1_048_576
/** Time by which callers' clocks may run ahead. */
const MAX_CLOCK_SKEW_MS = 5_000
/** Longer than any credit is valid, and long enough for a peer that lost its connection to query the attempt. */
const ATTEMPT_RETENTION_MS = 30_000

/** Creates the components that process a request from admission to its answer. */
export function buildRequestPath (base: RequestPathOptions, signal: AbortSignal): RequestPath {
  const { identity, clock, random, modules, recorder, slots, directory, links, targets } = base
  const { maxQueued, maxDeadlineMs, maxJournalEntries, journalRetentionMs } = base.requests
  const sender = makeSender(identity)
  const services = new Services({ identity, clock, random, modules, recorder, slots, directory, links, maxQueued, maxDeadlineMs, signal })
  const journal = new Journal({ maxEntries: maxJournalEntries, maxRefused: maxJournalEntries, maxBytes: MAX_JOURNAL_BYTES, retentionMs: journalRetentionMs, maxSkewMs: MAX_CLOCK_SKEW_MS })
  const runner = new TargetRunner({ clock, slots, sender: targets, signal })
  const executor = new RequestExecutor({
    identity,
    clock,
    recorder,
    runner,
    placer: new RequestPlacer({ identity, clock, services, slots, directory, modules }),
    forwarder: new PeerForwarder({ clock, directory, links, sender })
  })
  const relay = new HomeRelay({ clock, directory, links, sender })
  const handler = new RequestHandler({ identity, clock, journal, executor, relay, signal })
  return {
    services,
    journal,
    runner,
    handler,
    peerRequests: new PeerRequests({ identity, clock, services, slots, attempts: new AttemptTable(ATTEMPT_RETENTION_MS), runner, handler, maxDeadlineMs })
  }
}
