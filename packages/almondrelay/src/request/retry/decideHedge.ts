import type { HedgeDecision } from './hedgeDecision.js'
import type { HedgeInput } from './hedgeInput.js'
import type { RetryBudget } from './retryBudget.js'

/** Multiple of the expected cost after which an answer is late: with exponential service times 1 in 150 answers is. */
const HEDGE_AFTER = 5
const HEDGE_MIN_MS = 50

/**
 * Decides whether a second attempt is started beside one that is late.
 *
 * Answers a target that accepts and never answers: without it each request that was sent
 * there waits for its deadline. For idempotent work only, once a request, while slots are
 * free and nothing waits for them, and out of the same budget as retries.
 */
export function decideHedge (input: HedgeInput, budget: RetryBudget, now: number): HedgeDecision {
  if (!input.idempotent || input.attempts > 1) return { kind: 'never' }
  const hedgeAt = input.startedAt + Math.max(HEDGE_MIN_MS, HEDGE_AFTER * input.costMs)
  if (hedgeAt + input.costMs >= input.deadlineAt) return { kind: 'never' }
  if (now < hedgeAt) return { kind: 'wait', afterMs: hedgeAt - now }
  if (now + input.costMs >= input.deadlineAt) return { kind: 'never' }
  const isSlotSpare = input.freeSlots > 0 && input.waiting === 0
  if (!isSlotSpare || !budget.use(now)) return { kind: 'wait', afterMs: HEDGE_MIN_MS }
  return { kind: 'hedge' }
}
