import type { HostStatus } from '../client/hostStatus.js'
import { formatTable } from './formatTable.js'

/** The status of the deployment for people. */
export function formatStatus (status: HostStatus): string {
  const zones = formatTable(['availability zone', 'revision', 'behind'], status.availabilityZones.map((zone) => [zone.name, zone.revision, Math.max(0, status.revision - zone.revision)]))
  const hosts = formatTable(['host', 'availability zone', 'state', 'revision'], status.hosts.map((host) => [host.name, host.availabilityZone, host.state ?? '', host.revision ?? '']))
  const drains = formatTable(['drain', 'drained', 'left', 'held back by'], status.drains.map((drain) => [drain.name, drain.drained === true ? 'yes' : 'no', drain.remaining ?? '', drain.heldBackBy ?? '']))
  const caps = formatTable(['cap', 'carried', 'limit'], status.caps.map((cap) => [cap.name, cap.carried, cap.limit]))
  return [
    `asked: ${status.host.name} in ${status.host.availabilityZone}, revision ${status.revision}`,
    zones,
    hosts,
    ...(status.drains.length === 0 ? ['no drains'] : [drains]),
    ...(status.caps.length === 0 ? ['no caps'] : [caps]),
    `behind: ${status.lagging.join(', ') || 'none'}`,
    `can't be reached: ${status.unreachable.join(', ') || 'none'}`
  ].join('\n\n')
}
