import type { AccountReport } from 'almondrelay'

interface Limit {
  name: string
  maxInFlight: number
}

interface ShiftLimit extends Limit {
  from: string
  to: string
  service?: string
}

/** What a report is drawn from. */
export interface ReportData {
  account: AccountReport
  /** What each region can carry, as its resource says now. */
  regions: Limit[]
  shiftCaps: ShiftLimit[]
}
