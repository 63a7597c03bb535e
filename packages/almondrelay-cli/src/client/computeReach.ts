import type { HostStatus } from './hostStatus.js'
import type { RevisionReach } from './revisionReach.js'

/** Computes where a revision is in force, from the status that one host reports. */
export function computeReach (status: HostStatus, revision: number): RevisionReach {
  const reachable = status.availabilityZones.filter((zone) => zone.revision !== undefined)
  const lagging = reachable.filter((zone) => (zone.revision ?? 0) < revision).map((zone) => zone.availabilityZone)
  return {
    inForce: status.revision >= revision && lagging.length === 0,
    zones: reachable.length,
    lagging,
    unreachable: status.unreachableHosts
  }
}
