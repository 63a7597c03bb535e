import type { MemberEntry } from './memberEntry.js'
import type { Summary } from './summary.js'

/** Makes the summary of a host to send to peers; undefined where no report of it was received. The age of a host's own summary is 0. */
export function describeSummary (entry: MemberEntry | undefined, isSelf: boolean, now: number): Summary | undefined {
  if (entry === undefined || entry.incarnation === 0) return undefined
  const { host, incarnation, availabilityZone, region, callerAddress, peerAddress, revision, isLeaving, isGone, isSilent, loads } = entry
  const ageMs = isSelf ? 0 : Math.round(Math.max(0, now - entry.heardAt))
  return { host, incarnation, availabilityZone, region, callerAddress, peerAddress, revision, isLeaving, isGone, isSilent, ageMs, loads }
}
