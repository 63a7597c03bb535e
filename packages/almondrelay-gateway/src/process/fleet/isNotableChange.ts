import { match } from 'ts-pattern'
import type { TargetEntry } from '../../request/targetEntry.js'
import type { FleetChange } from './fleetChange.js'
import type { FleetState } from './fleetState.js'

/**
 * Whether a host decides otherwise after a change than before it. Most changes are heartbeats of targets that tell only
 * how much longer they stay cold.
 *
 * It is judged by what the store said before, not by what this host found out by itself: a watcher that had heard from a target's
 * own answer that it left, or was cold, would not hand the change on, and the others of its region would never know.
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
  const isColdAnew = entry.coldForMs > 0 && (coldForMs === 0 || entry.coldForMs > coldForMs || !known.isCold(now))
  return !isSame || isColdAnew
}
