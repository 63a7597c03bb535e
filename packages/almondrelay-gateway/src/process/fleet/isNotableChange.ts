import { match } from 'ts-pattern'
import type { TargetEntry } from '../../request/targetEntry.js'
import type { FleetChange } from './fleetChange.js'
import type { FleetState } from './fleetState.js'

/**
 * Whether a change is notable: hosts decide differently after it than before. Most changes are not, as they are heartbeats
 * of targets that only update how much longer the target stays cold.
 *
 * The comparison uses the state that the store reported before, not what this host observed by itself. A watcher that had already
 * learnt from a target's answer that the target left or was cold would otherwise not relay the change to its region.
 */
export function isNotableChange (change: FleetChange, fleet: FleetState, now: number): boolean {
  if (change.kind === 'target') return isNotableEntry(change.entry, fleet, now)
  return match(change)
    .with({ kind: 'configuration' }, ({ configuration }) => configuration.version > (fleet.configuration?.version ?? -1))
    .with({ kind: 'target-gone' }, { kind: 'target-unreadable' }, () => true)
    .with({ kind: 'evacuation' }, ({ availabilityZone, isEvacuated }) => fleet.isEvacuated(availabilityZone) !== isEvacuated)
    .with({ kind: 'host' }, ({ entry }) => fleet.findHost(entry.name)?.incarnation !== entry.incarnation)
    .with({ kind: 'host-gone' }, ({ name }) => fleet.findHost(name) !== undefined)
    .with({ kind: 'declared' }, { kind: 'suspect' }, { kind: 'suspect-gone' }, () => true)
    .with({ kind: 'invalid' }, () => false)
    .exhaustive()
}

const isNotableEntry = (entry: TargetEntry, fleet: FleetState, now: number): boolean => {
  const known = fleet.findTarget(entry.id)
  if (known === undefined) return true
  const { incarnation, draining, ip, port, slots, coldForMs } = known.entry
  const isSame = incarnation === entry.incarnation && draining === entry.draining && ip === entry.ip && port === entry.port && slots === entry.slots
  const isNewlyCold = entry.coldForMs > 0 && (coldForMs === 0 || entry.coldForMs > coldForMs || !known.isCold(now))
  return !isSame || isNewlyCold
}
