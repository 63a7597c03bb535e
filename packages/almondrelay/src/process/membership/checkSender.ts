import type { HeartbeatSender } from './heartbeatSender.js'
import { HeartbeatVerdict } from './heartbeatVerdict.js'
import type { MemberEntry } from './memberEntry.js'
import type { Summary } from './summary.js'

/** Checks a sender's identity against the known entry of that name and the summary that the sender gives of itself. */
export function checkSender (sender: HeartbeatSender, ownSummary: Summary | undefined, entry: MemberEntry | undefined, ownName: string): HeartbeatVerdict {
  if (sender.host === ownName) return HeartbeatVerdict.nameTaken
  if (entry === undefined || sender.incarnation > entry.incarnation) return HeartbeatVerdict.accepted
  if (sender.incarnation < entry.incarnation) return HeartbeatVerdict.staleIncarnation
  const isElsewhere = sender.availabilityZone !== entry.availabilityZone || sender.region !== entry.region
  const isOtherAddress = ownSummary !== undefined && entry.peerAddress !== '' && ownSummary.peerAddress !== entry.peerAddress
  if (isElsewhere || isOtherAddress) return HeartbeatVerdict.nameTaken
  return entry.isGone ? HeartbeatVerdict.declaredGone : HeartbeatVerdict.accepted
}
