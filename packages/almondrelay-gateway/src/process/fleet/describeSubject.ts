import { match } from 'ts-pattern'
import type { FleetChange } from './fleetChange.js'

/** Returns a name for what a change concerns, the same for its creation and its removal. */
export function describeSubject (change: FleetChange): string {
  // Nearly all changes are target entries, and a match over all kinds is slow.
  return change.kind === 'target' ? `target ${change.entry.id}` : describeOtherSubject(change)
}

const describeOtherSubject = (change: Exclude<FleetChange, { kind: 'target' }>): string => match(change)
  .with({ kind: 'configuration' }, () => 'configuration')
  .with({ kind: 'target-gone' }, { kind: 'target-unreadable' }, ({ id }) => `target ${id}`)
  .with({ kind: 'evacuation' }, ({ availabilityZone }) => `evacuation ${availabilityZone}`)
  .with({ kind: 'host' }, ({ entry }) => `host ${entry.name}`)
  .with({ kind: 'host-gone' }, ({ name }) => `host ${name}`)
  .with({ kind: 'declared' }, ({ revision }) => `declared ${revision}`)
  .with({ kind: 'suspect' }, ({ record }) => `suspect ${record.fingerprint}`)
  .with({ kind: 'suspect-gone' }, ({ fingerprint }) => `suspect ${fingerprint}`)
  .with({ kind: 'invalid' }, ({ key }) => `invalid ${key}`)
  .exhaustive()
