import { TargetState } from '../targetState.js'
import type { TargetEntry } from '../targetEntry.js'

/** Makes a target that is ready, with some fields of its entry replaced. */
export function makeTarget (entry: Partial<TargetEntry> = {}, now = 0): TargetState {
  return new TargetState({
    id: 'target-1',
    incarnation: undefined,
    sequence: 1,
    service: 'balances',
    ip: '127.0.0.1',
    port: 8000,
    availabilityZone: 'akl-a',
    region: 'akl',
    slots: 4,
    draining: false,
    coldForMs: 0,
    ...entry
  }, now)
}
