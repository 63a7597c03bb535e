/** How an attempt at a target or peer ended. */
const AttemptOutcome = {
  /** No connection was made, or it was refused. */
  unreachable: 'unreachable',
  /** The target stated that it did not run the request. */
  refused: 'refused',
  /** The request was fenced: it did not run and never will. */
  fenced: 'fenced',
  /** After the request was sent, the connection was lost or there was no answer in time. */
  lost: 'lost',
  /** The answer was cut short. */
  broken: 'broken',
  /** A complete answer was received; there is no reason to retry. */
  answered: 'answered'
} as const

type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome]

export { AttemptOutcome }
