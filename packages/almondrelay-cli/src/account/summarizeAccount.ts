import { accountDimensions, mergeRows, type AccountReport, type AccountRow } from 'almondrelay'
import type { AccountQuery } from './accountQuery.js'

/** Groups and filters the rows of an account by a query; the highest count comes first. */
export function summarizeAccount (report: AccountReport, query: AccountQuery): AccountRow[] {
  const rows = report.minutes
    .flatMap((minute) => minute.rows)
    .filter((row) => accountDimensions.every((dimension) => query.only[dimension] === undefined || row[dimension] === query.only[dimension]))
  return mergeRows(rows, query.by).sort((left, right) => right.count - left.count || compareRows(left, right, query))
}

const compareRows = (left: AccountRow, right: AccountRow, query: AccountQuery): number => {
  for (const dimension of query.by) {
    if (left[dimension] !== right[dimension]) return left[dimension] < right[dimension] ? -1 : 1
  }
  return 0
}
