import type { AttemptResult } from './attemptResult.js'
import { FIRST_FAILURE_STATUS } from './firstFailureStatus.js'
import { NextStep } from './nextStep.js'

/**
 * Statuses that assure a caller that its request hasn't run. From a target they count only where it also states that it didn't
 * run the request; without that statement the request may have run.
 */
const NOT_RUN_STATUSES = [408, 421, 429, 503]

/**
 * Decides what to do with the result of one attempt.
 *
 * A request that isn't idempotent is sent again only where nothing was written or the target itself states that it didn't run it.
 * After a connection reset, a truncated answer or a timeout the request may have run, and a second run would book the same order
 * twice.
 */
export function decideNextStep (result: AttemptResult, isIdempotent: boolean): NextStep {
  const stepIfMaybeRun = isIdempotent ? NextStep.retryMaybeRun : NextStep.giveUp
  if (result.kind === 'not-sent') return NextStep.resend
  if (result.kind === 'broken') return stepIfMaybeRun
  const { isMisdirected, isNotRun, isGenuine, status } = result.head
  if (isMisdirected || isNotRun) return NextStep.retryNotRun
  if (!isGenuine || NOT_RUN_STATUSES.includes(status)) return stepIfMaybeRun
  return isIdempotent && status >= FIRST_FAILURE_STATUS ? NextStep.retryMaybeRun : NextStep.deliver
}
