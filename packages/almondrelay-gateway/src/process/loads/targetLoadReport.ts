import type { TargetStatement } from '../../request/targetStatement.js'

/** Statements of targets that one host tells another. Their times are those of the receiver, without the time on the way. */
export interface TargetLoadReport {
  host: string
  incarnation: string
  /** Hash of the name of the aggregator that tells its zone's hosts; 0 in a report of statements that the sender received itself. */
  origin: number
  /** The sender is an aggregator of another zone, and the receiver is to tell its zone's hosts. */
  passesOn: boolean
  /** Hashes of the names of the hosts to which the receiver is to forward the report. */
  forwardTo: readonly number[]
  statements: ReadonlyArray<Omit<TargetStatement, 'statedAt'> & { ageMs: number }>
}
