/** What to do after an attempt ended. */
const NextStep = {
  /** Give the target's answer to the caller. */
  deliver: 'deliver',
  /** Try another target; the request hasn't reached one, so no repeat is spent. */
  resend: 'resend',
  /** Try another target within the allowance for repeats; the target said that it didn't run it. */
  retryNotRun: 'retry-not-run',
  /** Try another target within the allowance; this one may have run it. */
  retryMaybeRun: 'retry-maybe-run',
  /** Nothing more may be sent: it may have run and must not run twice. */
  giveUp: 'give-up'
} as const

type NextStep = (typeof NextStep)[keyof typeof NextStep]

export { NextStep }
