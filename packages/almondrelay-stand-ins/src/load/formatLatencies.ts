import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { formatTable } from './formatTable.js'
import type { LoadResult } from './loadResult.js'

const MICROSECONDS = 1_000
const PERCENTILES = [50, 90, 99, 99.9]

/** A table of latencies in milliseconds by service and outcome. */
export function formatLatencies (results: readonly LoadResult[]): string {
  const histograms = new Map<string, Histogram>()
  for (const { operation, answer, latencyMs } of results) {
    const name = `${operation.service} ${answer.outcome}`
    const histogram = histograms.get(name) ?? build({ numberOfSignificantValueDigits: 3 })
    histogram.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS)))
    histograms.set(name, histogram)
  }
  const rows = [...histograms].sort(([one], [other]) => one < other ? -1 : 1).map(([name, histogram]) => [
    name,
    histogram.totalCount,
    ...PERCENTILES.map((percentile) => Number((histogram.getValueAtPercentile(percentile) / MICROSECONDS).toFixed(1))),
    Number((histogram.maxValue / MICROSECONDS).toFixed(1))
  ])
  return formatTable([['service and outcome', 'count', ...PERCENTILES.map((each) => `p${each} ms`), 'max ms'], ...rows])
}
