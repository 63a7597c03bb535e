import { mergeRows, type AccountDimension } from 'almondrelay'
import { describeGaps } from '../account/describeGaps.js'
import { buildBarChart } from './buildBarChart.js'
import { buildLineChart } from './buildLineChart.js'
import { formatHtml } from './formatHtml.js'
import { listRegionLoad } from './listRegionLoad.js'
import { listMinutes } from './listMinutes.js'
import { listRefusals } from './listRefusals.js'
import { listShiftedLoad } from './listShiftedLoad.js'
import { renderChart } from './renderChart.js'
import type { ReportData } from './reportData.js'

const MINUTE_MS = 60_000
const MAX_ROWS = 50
const STYLE = 'body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}table{border-collapse:collapse;margin:.5rem 0 1.5rem}th,td{padding:.2rem .8rem;border-bottom:1px solid #ddd;text-align:left}td.number{text-align:right;font-variant-numeric:tabular-nums}.gap{background:#fff4d6;padding:.5rem 1rem;border-left:4px solid #d99a00}svg{max-width:100%;height:auto}p.note{color:#555}'

/** Renders the report as a self-contained HTML page. */
export async function renderReport (data: ReportData): Promise<string> {
  const { account } = data
  const title = `Account of requests, ${formatTime(account.since)} to ${formatTime(account.until + 1)}`
  const parts = [
    `<h1>${title}</h1>`,
    renderGaps(data),
    '<h2>By caller and outcome</h2>',
    renderTable(data, ['caller', 'outcome']),
    '<h2>By service, region and outcome</h2>',
    renderTable(data, ['service', 'region', 'outcome']),
    '<h2>Load by region against its capacity</h2>',
    '<p class="note">Requests in flight, mean of each minute; the dashed line is the capacity of the region. Peaks shorter than a minute are higher.</p>',
    await renderLoad(data),
    '<h2>Refusals by reason</h2>',
    await renderRefusals(data),
    '<h2>Shifts against their caps</h2>',
    await renderShift(data)
  ]
  return `<!doctype html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n<title>${title}</title>\n<style>${STYLE}</style>\n</head>\n<body>\n${parts.join('\n')}\n</body>\n</html>\n`
}

const renderLoad = async (data: ReportData): Promise<string> => {
  const points = listRegionLoad(data)
  if (points.length === 0) return renderNote('No requests were counted.')
  return renderChart(buildLineChart({ points, valueTitle: 'in flight', limits: data.regions.map(({ name, maxInFlight }) => ({ series: name, limit: maxInFlight })) }))
}

const renderRefusals = async (data: ReportData): Promise<string> => {
  const points = listRefusals(data)
  const times = listMinutes(data.account).map(({ time }) => time)
  const span = [times[0] ?? 0, (times.at(-1) ?? 0) + MINUTE_MS] as const
  return points.length === 0 ? renderNote('Nothing was refused.') : renderChart(buildBarChart(points, span, 'requests a minute', 'reason'))
}

const renderShift = async (data: ReportData): Promise<string> => {
  const points = listShiftedLoad(data)
  if (points.length === 0) return renderNote('No shift cap is declared, or no requests were counted.')
  const chart = await renderChart(buildLineChart({ points, valueTitle: 'in flight', limits: data.shiftCaps.map(({ name, maxInFlight }) => ({ series: name, limit: maxInFlight })) }))
  return `${renderNote('Requests in flight of callers of one region in another, mean of each minute; the dashed line is the cap as declared now.')}\n${chart}`
}

const renderGaps = ({ account }: ReportData): string => {
  const gaps = describeGaps(account)
  if (gaps.length === 0) return renderNote(`From ${account.pages} pages, with no known gaps.`)
  return `<div class="gap"><p>From ${account.pages} pages. Known gaps:</p><ul>${gaps.map((gap) => `<li>${formatHtml(gap)}</li>`).join('')}</ul></div>`
}

const renderTable = ({ account }: ReportData, by: AccountDimension[]): string => {
  const rows = mergeRows(account.minutes.flatMap((minute) => minute.rows), by).sort((left, right) => right.count - left.count)
  const head = [...by, 'requests', 'mean ms'].map((name) => `<th>${name}</th>`).join('')
  const body = rows.slice(0, MAX_ROWS).map((row) => `<tr>${by.map((dimension) => `<td>${formatHtml(row[dimension])}</td>`).join('')}<td class="number">${row.count}</td><td class="number">${(row.durationMs / row.count).toFixed(1)}</td></tr>`)
  const more = rows.length > MAX_ROWS ? renderNote(`${rows.length - MAX_ROWS} more rows; almondrelay account lists all.`) : ''
  return `<table><thead><tr>${head}</tr></thead><tbody>${body.join('')}</tbody></table>${more}`
}

const renderNote = (text: string): string => `<p class="note">${formatHtml(text)}</p>`

const formatTime = (minute: number): string => `${new Date(minute * MINUTE_MS).toISOString().slice(0, 16).replace('T', ' ')} UTC`
