/** What replaying one line showed. */
export type LineVerdict =
  | { kind: 'same' }
  | { kind: 'different', found: unknown }
  /** The line can't be run again, for the reason given. */
  | { kind: 'passed', reason: string }
