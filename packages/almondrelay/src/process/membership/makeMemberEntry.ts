import type { ListedHost } from './listedHost.js'
import type { MemberEntry } from './memberEntry.js'

/** Makes the entry of a host from which no report was received yet. */
export function makeMemberEntry (listed: ListedHost): MemberEntry {
  const { host, availabilityZone, region, callerAddress, peerAddress } = listed
  return {
    host,
    availabilityZone,
    region,
    callerAddress,
    peerAddress,
    incarnation: 0,
    revision: 0,
    isLeaving: false,
    isGone: false,
    loads: [],
    heardAt: -Infinity,
    directAt: -Infinity,
    isSilent: false,
    failures: 0,
    failedSince: Infinity,
    lastFailedAt: -Infinity,
    listedAt: -Infinity,
    isListedLeaving: listed.isLeaving
  }
}
