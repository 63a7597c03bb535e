import { randomInt, randomUUID } from 'node:crypto'
import type Logger from 'bunyan'
import { ExchangeHub } from '../../connection/exchange/exchangeHub.js'
import { PeerRefusal } from '../../connection/exchange/peerRefusal.js'
import { PeerConnection } from '../../connection/peer/peerConnection.js'
import { PeerConnections } from '../../connection/peer/peerConnections.js'
import { TargetConnections } from '../../connection/target/targetConnections.js'
import { createSeededRandom } from '../../request/createSeededRandom.js'
import { AccountLedger } from '../account/accountLedger.js'
import { AccountReader } from '../account/accountReader.js'
import { AccountWriter } from '../account/accountWriter.js'
import { DecisionLog } from '../account/decisionLog.js'
import { ChangeLog } from '../configuration/changeLog.js'
import { ConfigurationStore } from '../configuration/configurationStore.js'
import type { HostIdentity } from '../dispatch/hostIdentity.js'
import { LookupAnswerer } from '../lookup/lookupAnswerer.js'
import { LeavingTargets } from '../membership/leavingTargets.js'
import { Membership } from '../membership/membership.js'
import type { MembershipOptions } from '../membership/membershipOptions.js'
import { HttpPlatform } from '../platform/httpPlatform.js'
import { SystemClock } from '../platform/systemClock.js'
import type { HostSettings } from '../settings/hostSettings.js'
import { AccountRecorder } from './accountRecorder.js'
import { buildLimits } from './buildLimits.js'
import { buildRequestPath } from './buildRequestPath.js'
import { buildStatusHooks } from './buildStatusHooks.js'
import { DecisionLogRecorder } from './decisionLogRecorder.js'
import type { Host } from './host.js'
import { LoggedTargetObserver } from './loggedTargetObserver.js'
import { MemberDirectory } from './memberDirectory.js'
import { Metrics } from './metrics.js'
import { PlainModules } from './plainModules.js'
import { readAccount } from './readAccount.js'
import { RecordedModules } from './recordedModules.js'

const MAX_SEED = 2 ** 32

/**
 * Creates the objects of a host without opening ports or sending anything. The signal ends the work that these objects
 * start later; `fail` is called when the process must stop.
 */
export function buildHost (settings: HostSettings, log: Logger, signal: AbortSignal, fail: () => void): Host {
  const clock = new SystemClock()
  const random = createSeededRandom(randomInt(MAX_SEED))
  const identity: HostIdentity = {
    host: settings.host.name,
    incarnation: Math.round(clock.getWallTime()),
    region: settings.host.region,
    availabilityZone: settings.host.availabilityZone
  }
  const platform = new HttpPlatform(settings.platform)
  const store = new ConfigurationStore()
  const changeLog = new ChangeLog({ platform, store, clock })
  const membershipOptions: MembershipOptions = {
    self: { ...identity, callerAddress: settings.listen.caller, peerAddress: settings.listen.peer },
    heartbeatMs: settings.peering.heartbeatMs,
    suspectAfterMs: settings.peering.suspectAfterMs
  }
  const membership = buildMembership(settings, membershipOptions)
  const leavingTargets = new LeavingTargets()
  const ledger = new AccountLedger(identity)
  const accountReader = new AccountReader(platform)
  const metrics = new Metrics(settings, (error) => { log.debug({ err: error }, 'metrics not sent') })
  const base = {
    settings,
    identity,
    log,
    clock,
    random,
    platform,
    store,
    changeLog,
    membership,
    ledger,
    metrics,
    peers: new PeerConnections(signal),
    targets: new TargetConnections(clock, new LoggedTargetObserver(log, metrics))
  }
  const recorder = new DecisionLogRecorder(new DecisionLog(log))
  const modules = settings.log.replay ? new RecordedModules({ identity, random, recorder }) : new PlainModules(random, recorder)
  const directory = new MemberDirectory(membership, clock)
  const isWatcher = (): boolean => membership.chooseWatchers(identity.availabilityZone, clock.getNow()).includes(identity.host)
  const limits = buildLimits({ ...base, directory, links: base.peers, isWatcher })
  const path = buildRequestPath({ ...base, slots: limits.capacity, requests: settings.requests, modules, recorder, directory, links: base.peers }, signal)
  const { services } = path
  const hub = new ExchangeHub({
    ...membershipOptions,
    membership,
    leavingTargets,
    store,
    clock,
    log,
    createClient: createLinkedClient,
    handleRefusal: (refusal, peer) => { handleRefusal(refusal, peer, log, fail) }
  }, signal)
  return {
    ...base,
    ...limits,
    ...path,
    hub,
    leavingTargets,
    isWatcher,
    lookups: new LookupAnswerer({ identity, clock, random, services, directory, modules, ttlMs: settings.lookups.ttlMs }),
    answers: new AccountRecorder({ identity, clock, ledger, recorder, metrics, getConfiguration: () => services.configuration }),
    accountWriter: new AccountWriter(ledger, platform, {
      wallNow: () => clock.getWallTime(),
      sleep: (ms, waitSignal) => clock.sleep(ms, waitSignal),
      random,
      logFailure: (error, waitMs) => { log.warn({ err: error, waitMs }, 'account page not written; it is kept and tried again') }
    }),
    operatorOptions: {
      host: identity.host,
      store,
      changeLog,
      listMembers: () => membership.listMembers(clock.getNow()),
      statusHooks: buildStatusHooks(services, limits.limits),
      fetchAccount: (query, callSignal) => readAccount(accountReader, query, clock.getWallTime(), callSignal),
      makeWriteId: randomUUID,
      log
    }
  }
}

/**
 * Stops this process when a peer refuses it as stale or declared gone. Such a process was paused, and its peers, having
 * evidence that it had ended, reassigned the slots and limits that it held; resuming would use these twice.
 */
function handleRefusal (refusal: PeerRefusal, peer: string, log: Logger, fail: () => void): void {
  log.error({ refusal, peer }, 'a peer refused this host')
  if (refusal === PeerRefusal.staleIncarnation || refusal === PeerRefusal.declaredGone) fail()
}

function buildMembership (settings: HostSettings, options: MembershipOptions): Membership {
  const membership = new Membership(options)
  for (const peer of settings.peers) {
    membership.addSeed({ host: peer.name, availabilityZone: peer.availabilityZone, region: peer.region, callerAddress: '', peerAddress: peer.peer, isLeaving: false })
  }
  return membership
}

function createLinkedClient (address: string, signal: AbortSignal): PeerConnection['client'] {
  const connection = new PeerConnection(address)
  signal.addEventListener('abort', () => { connection.close() }, { once: true })
  return connection.client
}
