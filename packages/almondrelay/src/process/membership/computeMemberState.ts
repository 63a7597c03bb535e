import type { MemberEntry } from './memberEntry.js'
import { MemberState } from './memberState.js'

/** The state of a member, given whether its silence counts. Only evidence makes it `gone`. */
export function computeMemberState (entry: MemberEntry, isSilent: boolean): MemberState {
  if (entry.isGone) return MemberState.gone
  if (entry.heardAt === -Infinity) return MemberState.unheard
  if (isSilent) return MemberState.suspected
  if (entry.isLeaving || entry.isListedLeaving) return MemberState.leaving
  return MemberState.live
}
