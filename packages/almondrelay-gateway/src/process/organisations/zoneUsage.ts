import type { AllowanceUsage } from '../../request/allowanceUsage.js'

/** Allowance usage of organisations at the hosts of one availability zone. */
export interface ZoneUsage {
  /** Number of hosts whose requests are included. */
  hosts: number
  /** Milliseconds at the start of the window in which the sender didn't receive reports yet; requests admitted then are not included. */
  unseenMs: number
  /** Usage by the hash of the organisation's name. Organisations that are far below their limit are left out. */
  usageByOrganisation: ReadonlyMap<number, AllowanceUsage>
}
