import type { SuspectReport } from '../quarantine/suspectReport.js'
import type { UseReport } from '../organisations/useReport.js'
import type { PeerReport } from './peerReport.js'

/** What one host may tell another one in a datagram. */
export type PeerMessage = { kind: 'load', report: PeerReport } | { kind: 'use', report: UseReport } | { kind: 'suspects', report: SuspectReport }
