import type { FleetChange } from './fleetChange.js'
import type { FleetState } from './fleetState.js'

/** Returns whether the state holds what a change states; it does not where it knew something newer. */
export function isReflected (change: FleetChange, fleet: FleetState): boolean {
  if (change.kind === 'configuration') return fleet.configuration?.version === change.configuration.version
  if (change.kind === 'host') return fleet.findHost(change.entry.name)?.incarnation === change.entry.incarnation
  if (change.kind !== 'target') return true
  const known = fleet.findTarget(change.entry.id)?.entry
  return known?.incarnation === change.entry.incarnation && known?.sequence === change.entry.sequence
}
