import { computeMeanInFlight } from './computeMeanInFlight.js'
import { listMinutes } from './listMinutes.js'
import type { ReportData } from './reportData.js'
import type { TimePoint } from './timePoint.js'

/** Lists the load of each region by minute: the mean number of requests in flight at its targets. */
export function listRegionLoad ({ account, regions }: ReportData): TimePoint[] {
  const names = new Set([...regions.map((region) => region.name), ...account.minutes.flatMap((minute) => minute.rows.map((row) => row.region))])
  names.delete('')
  return listMinutes(account).flatMap(({ time, rows }) => [...names].map((series) => ({ time, series, value: computeMeanInFlight(rows.filter((row) => row.region === series && row.target !== '')) })))
}
