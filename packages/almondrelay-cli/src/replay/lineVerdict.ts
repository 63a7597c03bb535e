/** Result of replaying one line of a trace. */
export type LineVerdict =
  | { kind: 'same' }
  | { kind: 'different', found: unknown }
  /** The line can't be replayed, for the reason given. */
  | { kind: 'passed', reason: string }
