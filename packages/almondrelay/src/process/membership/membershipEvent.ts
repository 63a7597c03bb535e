import type { GoneEvidence } from './goneEvidence.js'

/** Event to which subscribers react at once. */
export type MembershipEvent =
  /** An incarnation has exited: what it held may be freed. */
  | { kind: 'gone', host: string, incarnation: number, evidence: GoneEvidence }
  /** There are changes to send to peers before the next heartbeat. */
  | { kind: 'news' }
