/** What to do after an attempt ended. */
const NextStep = {
  /** Pass the target's answer to the caller. */
  deliver: 'deliver',
  /** Try another target; the request hasn't reached one, so this doesn't use the retry allowance. */
  resend: 'resend',
  /** Try another target within the retry allowance; this one stated that it didn't run the request. */
  retryNotRun: 'retry-not-run',
  /** Try another target within the retry allowance; this one may have run the request. */
  retryMaybeRun: 'retry-maybe-run',
  /** Send nothing more: the request may have run and must not run twice. */
  giveUp: 'give-up'
} as const

type NextStep = (typeof NextStep)[keyof typeof NextStep]

export { NextStep }
