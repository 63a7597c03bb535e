import type { MemberEntry } from './memberEntry.js'
import { MemberState } from './memberState.js'

/** Computes the state of a member, given whether it is suspected for silence. Only evidence makes it `gone`. */
export function computeMemberState (entry: MemberEntry, isSilent: boolean): MemberState {
  if (entry.isGone) return MemberState.gone
  if (entry.heardAt === -Infinity) return MemberState.unheard
  if (isSilent) return MemberState.suspected
  if (entry.isLeaving || entry.isListedLeaving) return MemberState.leaving
  return MemberState.live
}
