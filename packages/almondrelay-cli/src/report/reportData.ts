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

/** Data from which a report is rendered. */
export interface ReportData {
  account: AccountReport
  /** Capacity of each region, as declared now. */
  regions: Limit[]
  shiftCaps: ShiftLimit[]
}
