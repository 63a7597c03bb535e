import { AttemptOutcome } from './attemptOutcome.js'
import type { RetryBudget } from './retryBudget.js'
import type { RetryDecision } from './retryDecision.js'
import type { RetryInput } from './retryInput.js'
import { RetryReason } from './retryReason.js'

/** The first attempt and two retries: with a tenth of the targets failing, one in a thousand requests fails all three. */
const MAX_ATTEMPTS = 3

/** Outcomes which guarantee that the attempt did not run and never will. */
const NOT_RUN: readonly AttemptOutcome[] = [AttemptOutcome.refused, AttemptOutcome.fenced]

/**
 * Decides whether a failed attempt is retried, and charges the retry to the budget.
 *
 * A non-idempotent request is never retried once a byte of it may have been sent, unless
 * the attempt is known not to have run: a second run would, for example, deduct leave twice.
 * The budget is checked last, so that only retries that are made are charged.
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
