import type { GoneEvidence } from './goneEvidence.js'

/** Something that others act on at once. */
export type MembershipEvent =
  /** An incarnation has ended: what it held may be freed. */
  | { kind: 'gone', host: string, incarnation: number, evidence: GoneEvidence }
  /** There is news to tell to peers before the next heartbeat. */
  | { kind: 'news' }
