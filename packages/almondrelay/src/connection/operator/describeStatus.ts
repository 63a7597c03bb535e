import { computeResourceStatus } from '../../process/configuration/status/computeResourceStatus.js'
import { computeZoneStatuses } from '../../process/configuration/status/computeZoneStatuses.js'
import type { OperatorAppOptions } from './operatorAppOptions.js'

/** Describes the state known to this host: zones, hosts, drains and shift caps. */
export function describeStatus (options: OperatorAppOptions): object {
  const { store, statusHooks } = options
  const members = options.listMembers()
  const zones = computeZoneStatuses(members, store.current.revision)
  const listKind = (kind: 'Drain' | 'ShiftCap') => store.current.list(kind)
    .map(({ name, spec, revision }) => ({ name, spec, revision }))
    .map((resource) => ({ ...resource, status: computeResourceStatus({ kind, ...resource } as Parameters<typeof computeResourceStatus>[0], zones, statusHooks) }))
  return {
    host: members.find((member) => member.host === options.host) ?? { host: options.host },
    isReady: store.isReady,
    revision: store.current.revision,
    availabilityZones: zones,
    laggingHosts: zones.flatMap((zone) => zone.laggingHosts),
    unreachableHosts: zones.flatMap((zone) => zone.unreachableHosts),
    hosts: members,
    drains: listKind('Drain'),
    caps: listKind('ShiftCap')
  }
}
