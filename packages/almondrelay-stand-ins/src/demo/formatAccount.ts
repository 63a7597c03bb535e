import type { AccountRow } from 'almondrelay'
import { formatTable } from '../load/formatTable.js'

/** Tables of the account: carried by region of callers and region served, and refused by reason. */
export function formatAccount (rows: readonly AccountRow[]): string {
  const ran = rows.filter((row) => row.outcome === 'run')
  const others = rows.filter((row) => row.outcome !== 'run')
  return [
    formatSums('callers of -> served in', ran, (row) => `${row.callerRegion} -> ${row.region}`),
    formatSums('run by caller and service', ran, (row) => `${row.caller} ${row.service}`),
    formatSums('not run or unknown, and why', others, (row) => `${row.callerRegion} ${row.service}: ${row.outcome} ${row.reason}`)
  ].join('\n\n')
}

function formatSums (title: string, rows: readonly AccountRow[], describe: (row: AccountRow) => string): string {
  const sums = new Map<string, number>()
  for (const row of rows) sums.set(describe(row), (sums.get(describe(row)) ?? 0) + row.count)
  const sorted = [...sums].sort(([one], [other]) => one < other ? -1 : 1)
  return formatTable([[title, 'requests'], ...(sorted.length === 0 ? [['none', 0]] : sorted)])
}
