import { AttemptOutcome } from './attemptOutcome.js'
import type { RetryBudget } from './retryBudget.js'
import type { RetryDecision } from './retryDecision.js'
import type { RetryInput } from './retryInput.js'
import { RetryReason } from './retryReason.js'

/** The first and two more: with a tenth of targets failing, one in a thousand requests fails all three. */
const MAX_ATTEMPTS = 3

/** Outcomes that promise that the attempt did not run and never will. */
const NOT_RUN: readonly AttemptOutcome[] = [AttemptOutcome.refused, AttemptOutcome.fenced]

/**
 * Decides whether a failed attempt is followed by another, and spends the budget for it.
 *
 * A non-idempotent request is never tried again once a byte of it may have left, unless
 * the attempt is known not to have run: a second run would deduct leave twice. The check
 * of the budget comes last, so that only a retry that is made is paid for.
 */
export function decideRetry (input: RetryInput, budget: RetryBudget, now: number): RetryDecision {
  if (input.outcome === AttemptOutcome.answered) return stop(RetryReason.answered)
  if (!allowSecondRun(input)) return stop(RetryReason.mayHaveRun)
  if (input.attempts >= MAX_ATTEMPTS) return stop(RetryReason.tooManyAttempts)
  if (now + input.costMs >= input.deadlineAt) return stop(RetryReason.noTimeLeft)
  if (!budget.use(now)) return stop(RetryReason.budgetSpent)
  return { kind: 'retry', afterMs: 0 }
}

const allowSecondRun = (input: RetryInput): boolean =>
  input.idempotent || !input.bytesMayHaveLeft || NOT_RUN.includes(input.outcome)

const stop = (reason: RetryReason): RetryDecision => ({ kind: 'stop', reason })
