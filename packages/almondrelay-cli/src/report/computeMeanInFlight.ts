import type { AccountRow } from 'almondrelay'

const MINUTE_MS = 60_000

/** Computes the mean number of requests in flight in a minute: their total duration divided by the minute. */
export function computeMeanInFlight (rows: readonly AccountRow[]): number {
  return rows.reduce((sum, row) => sum + row.durationMs, 0) / MINUTE_MS
}
