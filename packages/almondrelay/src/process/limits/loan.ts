import type { RosterHost } from './rosterHost.js'

/** Capacity lent, as the lender counts it on its own clock. */
export interface Loan {
  id: string
  to: RosterHost
  amount: number
  /** The limit's size when it was lent. */
  limit: number
  /** Until when new work may begin on it. */
  lapsesAt: number
  /** Until when such work may run. */
  busyUntil: number
}
