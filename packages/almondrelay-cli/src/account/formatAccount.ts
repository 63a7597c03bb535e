import { match } from 'ts-pattern'
import type { AccountReport, AccountRow } from 'almondrelay'
import { formatTable } from '../output/formatTable.js'
import { AccountFormat } from './accountFormat.js'
import type { AccountQuery } from './accountQuery.js'
import { describeGaps } from './describeGaps.js'

/** Formats the rows of an account as a table, JSON or CSV. */
export function formatAccount (report: AccountReport, rows: readonly AccountRow[], query: AccountQuery, format: AccountFormat): string {
  return match(format)
    .with(AccountFormat.json, () => formatJson(report, rows, query))
    .with(AccountFormat.csv, () => formatCsv(rows, query))
    .with(AccountFormat.table, () => formatText(report, rows, query))
    .exhaustive()
}

const formatText = (report: AccountReport, rows: readonly AccountRow[], query: AccountQuery): string => {
  const table = formatTable([...query.by, 'requests', 'mean ms', 'max ms'], rows.map((row) => [...query.by.map((dimension) => row[dimension]), row.count, computeMean(row), Math.round(row.maxDurationMs)]))
  const total = rows.reduce((sum, row) => sum + row.count, 0)
  return [table, `total ${total}, from ${report.pages} pages`, ...describeGaps(report)].join('\n')
}

const formatJson = (report: AccountReport, rows: readonly AccountRow[], query: AccountQuery): string => {
  const { minutes: _, ...summary } = report
  const shown = rows.map((row) => ({ ...Object.fromEntries(query.by.map((dimension) => [dimension, row[dimension]])), requests: row.count, meanMs: computeMean(row), maxMs: row.maxDurationMs }))
  return JSON.stringify({ ...summary, total: rows.reduce((sum, row) => sum + row.count, 0), rows: shown }, undefined, 2)
}

const formatCsv = (rows: readonly AccountRow[], query: AccountQuery): string => [
  [...query.by, 'requests', 'meanMs', 'maxMs'].join(','),
  ...rows.map((row) => [...query.by.map((dimension) => formatCell(row[dimension])), row.count, computeMean(row), row.maxDurationMs].join(','))
].join('\r\n')

// Callers choose their names; a spreadsheet would run a name that begins with = + - or @ as a formula.
const formatCell = (text: string): string => {
  const safe = /^[=+\-@\t\r]/.test(text) ? `'${text}` : text
  return /[",\r\n]/.test(safe) ? `"${safe.replaceAll('"', '""')}"` : safe
}

const computeMean = (row: AccountRow): number => row.count === 0 ? 0 : Math.round(row.durationMs / row.count * 10) / 10
