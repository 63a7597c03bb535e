/** Whether a request was run; stated as `run` or `notRun` only where that is certain. */
const Outcome = {
  /** The request was run; the answer is the target's complete answer. */
  run: 'run',
  /** The request was not run and never will be. */
  notRun: 'not-run',
  /** The request may have run; retrying can't make it run twice. */
  unknown: 'unknown'
} as const

type Outcome = (typeof Outcome)[keyof typeof Outcome]

export { Outcome }
