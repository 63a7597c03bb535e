import type { GivenPart } from './givenPart.js'
import type { PartGrant } from './partGrant.js'

/** Lists the grants of a handed-over part that still bind, with the remainders of their times. */
export function listBindingGrants (given: GivenPart, now: number): PartGrant[] {
  const passed = now - given.at
  return given.grants
    .map((grant) => ({ ...grant, termMs: Math.max(0, grant.termMs - passed), busyMs: grant.busyMs - passed }))
    .filter((grant) => grant.busyMs > 0)
}
