import type { AccountPage } from './accountPage.js'
import type { AccountReport } from './accountReport.js'
import type { AccountRow } from './accountRow.js'
import { formatPageKey } from './formatPageKey.js'
import { mergeRows } from './mergeRows.js'

/**
 * Merges the pages of all hosts into one report. A page that occurs twice is counted once.
 *
 * @param since First minute, inclusive.
 * @param until Last minute, inclusive.
 * @param settled Last minute for which every live host has had time to write its page.
 */
export function mergePages (pages: Iterable<AccountPage>, since: number, until: number, settled: number): Omit<AccountReport, 'unreadable'> {
  const byKey = new Map([...pages].map((page) => [formatPageKey(page.host, page.incarnation, page.minute), page]))
  const distinct = [...byKey.values()].filter((page) => page.minute >= since && page.minute <= until)
  const incarnations = splitByIncarnation(distinct)
  const lost = incarnations.map((each) => each.at(-1)?.lost ?? { minutes: 0, requests: 0 })
  return {
    since,
    until,
    settled,
    minutes: sumMinutes(distinct),
    pages: distinct.length,
    missing: incarnations.flatMap((each) => findGap(each, Math.min(until, settled))),
    folded: distinct.reduce((sum, page) => sum + page.folded, 0),
    lost: { minutes: sum(lost.map((each) => each.minutes)), requests: sum(lost.map((each) => each.requests)) }
  }
}

// Groups pages by incarnation, in chronological order.
const splitByIncarnation = (pages: readonly AccountPage[]): AccountPage[][] => {
  const groups = new Map<string, AccountPage[]>()
  for (const page of pages) {
    const key = `${page.host}/${page.incarnation}`
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [page])
    else group.push(page)
  }
  return [...groups.values()].map((each) => each.sort((left, right) => left.minute - right.minute))
}

const sumMinutes = (pages: readonly AccountPage[]): AccountReport['minutes'] => {
  const rows = new Map<number, AccountRow[]>()
  for (const page of pages) rows.set(page.minute, (rows.get(page.minute) ?? []).concat(page.rows))
  return [...rows]
    .filter(([, each]) => each.length > 0)
    .sort(([left], [right]) => left - right)
    .map(([minute, each]) => ({ minute, rows: mergeRows(each) }))
}

const findGap = (pages: readonly AccountPage[], until: number): AccountReport['missing'] => {
  const first = pages[0]
  const final = pages.at(-1)
  if (first === undefined || final === undefined) return []
  const present = new Set(pages.map((page) => page.minute))
  const minutes: number[] = []
  for (let minute = first.minute; minute < final.minute; minute += 1) if (!present.has(minute)) minutes.push(minute)
  const isSilent = !final.last && final.minute < until
  if (minutes.length === 0 && !isSilent) return []
  return [{ host: first.host, incarnation: first.incarnation, minutes, ...(isSilent ? { silentSince: final.minute } : {}) }]
}

const sum = (numbers: readonly number[]): number => numbers.reduce((total, each) => total + each, 0)
