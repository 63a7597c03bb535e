import { createPeerSources } from '../../connection/exchange/createPeerSources.js'
import { runExchanges } from '../../connection/exchange/runExchanges.js'
import { followPlatformChanges } from '../configuration/followPlatformChanges.js'
import { loadFirstConfiguration } from '../configuration/loadFirstConfiguration.js'
import { repairFromPlatform } from '../configuration/repairFromPlatform.js'
import { runSnapshotWriter } from '../configuration/runSnapshotWriter.js'
import { listLimits } from '../limits/listLimits.js'
import type { Configuration } from '../../version/configuration.js'
import type { Host } from './host.js'
import { followHostList } from './followHostList.js'
import { probeTargets } from './probeTargets.js'
import { reportLoad } from './reportLoad.js'

/** Runs the background tasks of a host; resolves after the signal has aborted and every task has ended. */
export async function runTasks (host: Host, signal: AbortSignal): Promise<void> {
  followConfiguration(host, signal)
  followMembership(host, signal)
  await Promise.all([
    runConfigurationTask(host, signal),
    runSnapshotWriter(host, signal),
    runExchanges(host.hub, signal),
    host.rosterTask.run(signal),
    host.slotLeases.run(signal),
    host.lenderElection.run(signal),
    host.loans.run(signal),
    host.accountWriter.run(signal),
    followHostList(host, signal),
    reportLoad(host, signal),
    probeTargets(host, signal)
  ])
}

/** Applies every revision as soon as the store accepts it. */
function followConfiguration (host: Host, signal: AbortSignal): void {
  const { store, services, clock, log } = host
  store.subscribe((configuration) => {
    if (!store.isReady) return
    adoptLimits(host, configuration)
    services.adoptConfiguration(configuration, clock.getNow())
    log.info({ revision: configuration.revision }, 'configuration in force')
  }, signal)
}

async function runConfigurationTask (host: Host, signal: AbortSignal): Promise<void> {
  const { store, platform, hub, clock, random, log } = host
  const loadFromPlatform = async (callSignal: AbortSignal): Promise<boolean> => {
    await repairFromPlatform(platform, store, callSignal)
    return true
  }
  await loadFirstConfiguration({ store, clock, random, log, listSources: () => [loadFromPlatform, ...createPeerSources(hub)] }, signal)
  await followPlatformChanges({ platform, store, clock, random, log, isWatcher: host.isWatcher }, signal)
}

function adoptLimits ({ limits, lender, identity, settings, clock }: Host, configuration: Configuration): void {
  const { maxDeadlineMs } = settings.requests
  const zones = configuration.get('Region', identity.region)?.spec.availabilityZones.length ?? 1
  limits.adoptConfiguration(configuration, maxDeadlineMs, clock.getNow())
  lender.adoptLimits(listLimits(configuration, identity.region), zones, maxDeadlineMs)
}

/** Releases what a host held only when there is definitive evidence that the host has ended. */
function followMembership ({ membership, slots, limits, lender, services, clock, log }: Host, signal: AbortSignal): void {
  const unsubscribe = membership.subscribe((event) => {
    if (event.kind !== 'gone') return
    log.info({ gone: event.host, incarnation: event.incarnation, evidence: event.evidence }, 'a host has ended')
    slots.markGone(event.host, event.incarnation, clock.getNow())
    limits.markGone(event.host, event.incarnation, clock.getNow())
    lender.markGone({ name: event.host, incarnation: event.incarnation }, clock.getNow())
    services.advance(clock.getNow())
  })
  signal.addEventListener('abort', unsubscribe, { once: true })
}
