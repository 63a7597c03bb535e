import type { AccountRow } from 'almondrelay'

const MINUTE_MS = 60_000

/** Requests in flight on average over a minute: the time that they took together, over the minute. */
export function computeMeanInFlight (rows: readonly AccountRow[]): number {
  return rows.reduce((sum, row) => sum + row.durationMs, 0) / MINUTE_MS
}
