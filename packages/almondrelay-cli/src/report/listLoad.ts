import { computeMeanInFlight } from './computeMeanInFlight.js'
import { listMinutes } from './listMinutes.js'
import type { ReportData } from './reportData.js'
import type { TimePoint } from './timePoint.js'

/** Load of each region by minute: requests in flight that its targets ran. */
export function listLoad ({ account, regions }: ReportData): TimePoint[] {
  const names = new Set([...regions.map((region) => region.name), ...account.minutes.flatMap((minute) => minute.rows.map((row) => row.region))])
  names.delete('')
  return listMinutes(account).flatMap(({ time, rows }) => [...names].map((series) => ({ time, series, value: computeMeanInFlight(rows.filter((row) => row.region === series && row.target !== '')) })))
}
