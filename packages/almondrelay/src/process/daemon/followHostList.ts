import { LeavingSource } from '../membership/leavingSource.js'
import type { PlatformHost } from '../platform/platformHost.js'
import type { Host } from './host.js'

const POLL_INTERVAL_MS = 1_000
const TARGET_ROLE = 'target'

/**
 * Polls the platform's list of hosts and targets, which lags behind, to discover entry hosts and leaving targets.
 * Only the zone's two watchers read the list, so the platform receives two calls per second per zone.
 */
export async function followHostList (host: Host, signal: AbortSignal): Promise<void> {
  const { clock } = host
  const source = new LeavingSource(host.leavingTargets)
  while (!signal.aborted) {
    if (host.isWatcher()) await readHostList(host, source, signal)
    await clock.sleep(POLL_INTERVAL_MS, signal)
  }
}

async function readHostList (host: Host, source: LeavingSource, signal: AbortSignal): Promise<void> {
  try {
    for (const listed of await host.platform.listHosts(signal)) observeListed(host, source, listed)
  } catch (error) {
    if (!signal.aborted) host.log.debug({ err: error }, 'host list could not be read; keeping the last known list')
  }
}

function observeListed ({ membership, services, clock }: Host, source: LeavingSource, listed: PlatformHost): void {
  const now = clock.getNow()
  if (listed.role === TARGET_ROLE) {
    const owners = services.list().filter((runtime) => runtime.findTarget(listed.name) !== undefined)
    for (const runtime of owners) source.observe(runtime.name, listed.name, listed.leaving, now)
    return
  }
  membership.observeListed({
    host: listed.name,
    availabilityZone: listed.availabilityZone,
    region: listed.region,
    callerAddress: listed.callerAddress ?? '',
    peerAddress: listed.peerAddress ?? '',
    isLeaving: listed.leaving
  }, now)
}
