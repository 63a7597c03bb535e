import { createPeerSources } from '../../connection/exchange/createPeerSources.js'
import { runExchanges } from '../../connection/exchange/runExchanges.js'
import { followPlatformChanges } from '../configuration/followPlatformChanges.js'
import { loadFirstConfiguration } from '../configuration/loadFirstConfiguration.js'
import { repairFromPlatform } from '../configuration/repairFromPlatform.js'
import { runSnapshotWriter } from '../configuration/runSnapshotWriter.js'
import type { Host } from './host.js'
import { followHostList } from './followHostList.js'
import { probeTargets } from './probeTargets.js'
import { reportLoad } from './reportLoad.js'

/** Runs everything that a host does all the time; resolves after the signal has aborted and each has ended. */
export async function runTasks (host: Host, signal: AbortSignal): Promise<void> {
  followConfiguration(host, signal)
  adoptRoster(host)
  await Promise.all([
    takeConfiguration(host, signal),
    runSnapshotWriter(host, signal),
    runExchanges(host.hub, signal),
    host.accountWriter.run(signal),
    followHostList(host, signal),
    reportLoad(host, signal),
    probeTargets(host, signal)
  ])
}

/** Every revision that the store takes is put in force at once. */
function followConfiguration (host: Host, signal: AbortSignal): void {
  const { store, services, clock, log } = host
  store.subscribe((configuration) => {
    if (!store.isReady) return
    services.adoptConfiguration(configuration, clock.getNow())
    log.info({ revision: configuration.revision }, 'configuration in force')
  }, signal)
}

async function takeConfiguration (host: Host, signal: AbortSignal): Promise<void> {
  const { store, platform, membership, hub, clock, random, log, identity } = host
  const askPlatform = async (callSignal: AbortSignal): Promise<boolean> => {
    await repairFromPlatform(platform, store, callSignal)
    return true
  }
  await loadFirstConfiguration({ store, clock, random, log, listSources: () => [askPlatform, ...createPeerSources(hub)] }, signal)
  const isWatcher = (): boolean => membership.chooseWatchers(identity.availabilityZone, clock.getNow()).includes(identity.host)
  await followPlatformChanges({ platform, store, clock, random, log, isWatcher }, signal)
}

/** A host that is alone in its zone owns all of the zone's targets. */
function adoptRoster ({ settings, identity, slots, clock }: Host): void {
  const isAlone = settings.peers.every((peer) => peer.availabilityZone !== identity.availabilityZone)
  if (!isAlone) return
  const hosts = [{ name: identity.host, incarnation: identity.incarnation }]
  slots.adoptRoster({ version: 1, availabilityZone: identity.availabilityZone, hosts }, clock.getNow())
}
