import { computeMemberState } from './computeMemberState.js'
import type { Member } from './member.js'
import type { MemberEntry } from './memberEntry.js'

/** Returns a snapshot of the known state of another host. */
export function describeMember (entry: MemberEntry, isSilent: boolean, now: number): Member {
  const { host, incarnation, availabilityZone, region, callerAddress, peerAddress, revision, loads } = entry
  const state = computeMemberState(entry, isSilent)
  return { host, incarnation, availabilityZone, region, callerAddress, peerAddress, revision, loads, state, heardAgeMs: Math.max(0, now - entry.heardAt) }
}
