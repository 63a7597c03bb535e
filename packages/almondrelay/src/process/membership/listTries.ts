import type { MemberEntry } from './memberEntry.js'

/** Hosts that may be there and were never heard, or were gone and are on the platform's list: the one tried longest ago first. */
export function listTries (entries: Iterable<MemberEntry>): MemberEntry[] {
  return [...entries]
    .filter((entry) => entry.heardAt === -Infinity || (entry.isGone && entry.listedAt > -Infinity))
    .sort((a, b) => a.triedAt - b.triedAt || (a.host < b.host ? -1 : 1))
}
