import type { TargetLoadReport } from '../loads/targetLoadReport.js'
import type { SuspectReport } from '../quarantine/suspectReport.js'
import type { UsageReport } from '../organisations/usageReport.js'
import type { PeerReport } from './peerReport.js'

/** A message that one host sends to another in a datagram. */
export type PeerMessage = { kind: 'load', report: PeerReport } | { kind: 'use', report: UsageReport } | { kind: 'suspects', report: SuspectReport } | { kind: 'target-loads', report: TargetLoadReport }
