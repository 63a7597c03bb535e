import type { AccountDimension } from './accountDimension.js'
import { accountDimensions } from './accountDimensions.js'
import type { AccountRow } from './accountRow.js'

/** Sums rows by the given dimensions; the other dimensions are empty in the result. */
export function mergeRows (rows: Iterable<AccountRow>, by: readonly AccountDimension[] = accountDimensions): AccountRow[] {
  const merged = new Map<string, AccountRow>()
  for (const row of rows) {
    const key = by.map((dimension) => row[dimension]).join('\n')
    const sum = merged.get(key)
    if (sum === undefined) {
      merged.set(key, { ...row, ...Object.fromEntries(accountDimensions.filter((dimension) => !by.includes(dimension)).map((dimension) => [dimension, ''])) })
    } else {
      sum.count += row.count
      sum.durationMs += row.durationMs
      sum.maxDurationMs = Math.max(sum.maxDurationMs, row.maxDurationMs)
    }
  }
  return [...merged.values()]
}
