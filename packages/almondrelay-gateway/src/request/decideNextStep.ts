import { match, P } from 'ts-pattern'
import type { AttemptResult } from './attemptResult.js'
import { FIRST_FAILURE_STATUS } from './firstFailureStatus.js'
import { NextStep } from './nextStep.js'

/** Statuses that promise a caller that its request hasn't run; a target's own are passed on only with its word for it. */
const PROMISING_STATUSES = [408, 421, 429, 503]

/**
 * What to do with the result of one attempt.
 *
 * A request that isn't idempotent goes out again only where nothing was written or the target itself states
 * that it didn't run it: after a reset, a cut answer or silence it may have run, and a second run would
 * book the same order twice.
 */
export function decideNextStep (result: AttemptResult, isIdempotent: boolean): NextStep {
  const afterDoubt = isIdempotent ? NextStep.retryMaybeRun : NextStep.giveUp
  return match(result)
    .with({ kind: 'not-sent' }, () => NextStep.resend)
    .with({ kind: 'broken' }, () => afterDoubt)
    .with({ kind: 'answered', head: P.union({ isMisdirected: true }, { isNotRun: true }) }, () => NextStep.retryNotRun)
    .with({ kind: 'answered', head: { isGenuine: false } }, () => afterDoubt)
    .with({ kind: 'answered', head: { status: P.when((status) => PROMISING_STATUSES.includes(status)) } }, () => afterDoubt)
    .with({ kind: 'answered', head: { status: P.number.gte(FIRST_FAILURE_STATUS) } }, () => isIdempotent ? NextStep.retryMaybeRun : NextStep.deliver)
    .otherwise(() => NextStep.deliver)
}
