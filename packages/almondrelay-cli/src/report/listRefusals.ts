import { Outcome } from 'almondrelay'
import { listMinutes } from './listMinutes.js'
import type { ReportData } from './reportData.js'
import type { TimePoint } from './timePoint.js'

/** Lists the number of requests that were not run, or whose outcome is unknown, by minute and reason. */
export function listRefusals ({ account }: ReportData): TimePoint[] {
  return listMinutes(account).flatMap(({ time, rows }) => {
    const counts = new Map<string, number>()
    for (const row of rows) {
      if (row.outcome === Outcome.run) continue
      const reason = row.reason === '' ? row.outcome : row.reason
      counts.set(reason, (counts.get(reason) ?? 0) + row.count)
    }
    return [...counts].map(([series, value]) => ({ time, series, value }))
  })
}
