import { computeMeanInFlight } from './computeMeanInFlight.js'
import { listMinutes } from './listMinutes.js'
import type { ReportData } from './reportData.js'
import type { TimePoint } from './timePoint.js'

/** Lists the load that each shift cap limits, by minute: the mean number of requests in flight from one region in another. */
export function listShiftedLoad ({ account, shiftCaps }: ReportData): TimePoint[] {
  return listMinutes(account).flatMap(({ time, rows }) => shiftCaps.map((cap) => {
    const shifted = rows.filter((row) => row.callerRegion === cap.from && row.region === cap.to && row.target !== '' && (cap.service === undefined || row.service === cap.service))
    return { time, series: cap.name, value: computeMeanInFlight(shifted) }
  }))
}
