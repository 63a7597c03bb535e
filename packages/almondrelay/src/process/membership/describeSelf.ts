import type { Member } from './member.js'
import type { MemberEntry } from './memberEntry.js'
import { MemberState } from './memberState.js'

/** Returns this host as a member; it never suspects itself. */
export function describeSelf (entry: MemberEntry): Member {
  const { host, incarnation, availabilityZone, region, callerAddress, peerAddress, revision, loads } = entry
  const state = entry.isLeaving ? MemberState.leaving : MemberState.live
  return { host, incarnation, availabilityZone, region, callerAddress, peerAddress, revision, loads, state, heardAgeMs: 0 }
}
