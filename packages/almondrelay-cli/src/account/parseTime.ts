import { InvalidArgumentError } from 'commander'

const UNIT_MS: Readonly<Record<string, number>> = { m: 60_000, h: 3_600_000, d: 86_400_000 }
const RELATIVE_TIME = /^(\d{1,6})([mhd])$/

/** Parses a time, ISO 8601 or relative to `now` such as 90m, 24h or 7d ago, to milliseconds since the Unix epoch. */
export function parseTime (text: string, now: number): number {
  const relative = RELATIVE_TIME.exec(text)
  if (relative?.[1] !== undefined && relative[2] !== undefined) return now - Number(relative[1]) * (UNIT_MS[relative[2]] ?? 0)
  const time = Date.parse(text)
  if (Number.isNaN(time)) throw new InvalidArgumentError('Write a time such as 2026-03-04T09:00Z, or how long ago, such as 90m, 24h or 7d.')
  return time
}
