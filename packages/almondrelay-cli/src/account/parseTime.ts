import { InvalidArgumentError } from 'commander'

const UNIT_MS: Readonly<Record<string, number>> = { m: 60_000, h: 3_600_000, d: 86_400_000 }
const AGO = /^(\d{1,6})([mhd])$/

/** Parses a time, ISO 8601 or relative to `now` such as 90m, 24h or 7d ago, to milliseconds since the Unix epoch. */
export function parseTime (text: string, now: number): number {
  const ago = AGO.exec(text)
  if (ago?.[1] !== undefined && ago[2] !== undefined) return now - Number(ago[1]) * (UNIT_MS[ago[2]] ?? 0)
  const time = Date.parse(text)
  if (Number.isNaN(time)) throw new InvalidArgumentError('Write a time such as 2026-03-04T09:00Z, or how long ago, such as 90m, 24h or 7d.')
  return time
}
