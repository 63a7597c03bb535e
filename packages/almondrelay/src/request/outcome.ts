/** What became of a request; never a guess. */
const Outcome = {
  /** The answer is the target's, whole. */
  run: 'run',
  /** It was not run and never will be. */
  notRun: 'not-run',
  /** It may have run; asking again can't make it run twice. */
  unknown: 'unknown'
} as const

type Outcome = (typeof Outcome)[keyof typeof Outcome]

export { Outcome }
