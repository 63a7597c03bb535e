import type { AccountReport, AccountRow } from 'almondrelay'

interface Minute {
  /** Milliseconds since the Unix epoch. */
  time: number
  rows: AccountRow[]
}

const MINUTE_MS = 60_000

/** Every minute from the first that counted something to the last, idle ones too, so that a line goes down to 0 in them. */
export function listMinutes (account: AccountReport): Minute[] {
  const rows = new Map(account.minutes.map((each) => [each.minute, each.rows]))
  const first = account.minutes[0]?.minute
  const last = account.minutes.at(-1)?.minute
  if (first === undefined || last === undefined) return []
  return Array.from({ length: last - first + 1 }, (_, index) => ({ time: (first + index) * MINUTE_MS, rows: rows.get(first + index) ?? [] }))
}
