/** How an attempt at a target or peer ended without an answer to pass on. */
const AttemptOutcome = {
  /** No connection was made, or it was refused. */
  unreachable: 'unreachable',
  /** The target promised that it did not run the request. */
  refused: 'refused',
  /** It was fenced: it did not run and never will. */
  fenced: 'fenced',
  /** The connection broke or went silent after the request had left. */
  lost: 'lost',
  /** The answer was broken off. */
  broken: 'broken',
  /** A whole answer came; nothing is to be retried. */
  answered: 'answered'
} as const

type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome]

export { AttemptOutcome }
