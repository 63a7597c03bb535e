import type { MemberEntry } from './memberEntry.js'

interface RefusedConnection {
  /** Latest known incarnation of the host when the connection was begun. */
  incarnation: number
  peerAddress: string
  /** Zone of the host that was refused. */
  ownZone: string
}

/**
 * Whether a refused connection shows that the process has exited. A paused process still accepts connections, as its kernel
 * accepts them. The refusal counts only for the address that this incarnation gave, and only within the own zone: between
 * zones, a network device on the path may refuse connections in place of a live host, and each side would declare the other
 * gone. What a zone's hosts hold is freed within the zone, so evidence there suffices; other zones receive its report or see silence.
 */
export function isRefusalEvidence (entry: MemberEntry, { incarnation, peerAddress, ownZone }: RefusedConnection): boolean {
  if (entry.incarnation !== incarnation || entry.peerAddress !== peerAddress || entry.heardAt === -Infinity) return false
  return entry.availabilityZone === ownZone
}
