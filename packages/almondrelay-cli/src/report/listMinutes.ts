import type { AccountReport, AccountRow } from 'almondrelay'

interface Minute {
  /** Milliseconds since the Unix epoch. */
  time: number
  rows: AccountRow[]
}

const MINUTE_MS = 60_000

/** Lists every minute from the first to the last with requests, idle ones included, so that lines drop to 0 in idle minutes. */
export function listMinutes (account: AccountReport): Minute[] {
  const rows = new Map(account.minutes.map((each) => [each.minute, each.rows]))
  const first = account.minutes[0]?.minute
  const last = account.minutes.at(-1)?.minute
  if (first === undefined || last === undefined) return []
  return Array.from({ length: last - first + 1 }, (_, index) => ({ time: (first + index) * MINUTE_MS, rows: rows.get(first + index) ?? [] }))
}
