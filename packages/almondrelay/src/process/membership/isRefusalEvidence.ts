import type { MemberEntry } from './memberEntry.js'

interface RefusedConnection {
  /** Latest incarnation of the host when the connection was begun. */
  incarnation: number
  peerAddress: string
  /** Zone of the host that was refused. */
  ownZone: string
}

/**
 * Whether a refused connection says that the process has ended. A paused process still accepts connections, as its kernel
 * does it. The refusal counts only for the address that this incarnation gave, and only within the own zone: between
 * zones a device on the way may refuse in a live host's name, and each side would declare the other gone. What a zone's
 * hosts hold is freed within the zone, so its own word is enough; other zones hear it from there, or see silence.
 */
export function isRefusalEvidence (entry: MemberEntry, { incarnation, peerAddress, ownZone }: RefusedConnection): boolean {
  if (entry.incarnation !== incarnation || entry.peerAddress !== peerAddress || entry.heardAt === -Infinity) return false
  return entry.availabilityZone === ownZone
}
