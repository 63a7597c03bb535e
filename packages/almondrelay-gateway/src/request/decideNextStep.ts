import { match, P } from 'ts-pattern'
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
  return match(result)
    .with({ kind: 'not-sent' }, () => NextStep.resend)
    .with({ kind: 'broken' }, () => stepIfMaybeRun)
    .with({ kind: 'answered', head: P.union({ isMisdirected: true }, { isNotRun: true }) }, () => NextStep.retryNotRun)
    .with({ kind: 'answered', head: { isGenuine: false } }, () => stepIfMaybeRun)
    .with({ kind: 'answered', head: { status: P.when((status) => NOT_RUN_STATUSES.includes(status)) } }, () => stepIfMaybeRun)
    .with({ kind: 'answered', head: { status: P.number.gte(FIRST_FAILURE_STATUS) } }, () => isIdempotent ? NextStep.retryMaybeRun : NextStep.deliver)
    .otherwise(() => NextStep.deliver)
}
