import type { RosterHost } from './rosterHost.js'

/** Capacity on loan, as the lender accounts for it on its own clock. */
export interface Loan {
  id: string
  to: RosterHost
  amount: number
  /** The limit's size when the capacity was lent. */
  limit: number
  /** Time until which new work may begin on the loan. */
  lapsesAt: number
  /** Time until which such work may run. */
  busyUntil: number
}
