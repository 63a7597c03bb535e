import type { MemberEntry } from './memberEntry.js'

/** Lists the hosts to probe: those without any report so far, and gone ones that the platform's host list names. The one with the oldest failed attempt comes first. */
export function listTries (entries: Iterable<MemberEntry>): MemberEntry[] {
  return [...entries]
    .filter((entry) => entry.heardAt === -Infinity || (entry.isGone && entry.listedAt > -Infinity))
    .sort((a, b) => a.lastFailedAt - b.lastFailedAt || (a.host < b.host ? -1 : 1))
}
