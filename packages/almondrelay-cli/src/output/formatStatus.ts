import type { HostStatus } from '../client/hostStatus.js'
import { formatTable } from './formatTable.js'

/** Formats the status of the deployment as tables for people. */
export function formatStatus (status: HostStatus): string {
  const countBehind = (revision: number | undefined): number | string => revision === undefined ? '' : Math.max(0, status.revision - revision)
  const zones = formatTable(['availability zone', 'hosts', 'revision', 'behind', 'known since ms'], status.availabilityZones.map((zone) => [zone.availabilityZone, zone.reachableHosts, zone.revision ?? 'unknown', countBehind(zone.revision), zone.knownAgeMs]))
  const hosts = formatTable(['host', 'availability zone', 'state', 'revision'], status.hosts.map((host) => [host.host, host.availabilityZone, host.state, host.revision ?? '']))
  const drains = formatTable(['drain', 'work left', 'state'], status.drains.map((drain) => [drain.name, drain.status.workLeft ?? 'unknown', drain.status.message ?? '']))
  const caps = formatTable(['shift cap', 'carried', 'limit'], status.caps.map((cap) => [cap.name, cap.status.carried ?? 'unknown', cap.status.limit ?? '']))
  return [
    `asked: ${status.host.host} in ${status.host.availabilityZone}, revision ${status.revision}${status.isReady ? '' : ', without a configuration yet'}`,
    zones,
    hosts,
    status.drains.length === 0 ? 'no drains' : drains,
    status.caps.length === 0 ? 'no shift caps' : caps,
    `behind: ${status.laggingHosts.map((each) => `${each.host} at ${each.revision}`).join(', ') || 'none'}`,
    `can't be reached: ${status.unreachableHosts.join(', ') || 'none'}`
  ].join('\n\n')
}
