import type { HedgeDecision } from './hedgeDecision.js'
import type { HedgeInput } from './hedgeInput.js'
import type { RetryBudget } from './retryBudget.js'

/** Multiple of the expected cost after which an answer counts as late: 1 in 150 answers, if service times are exponential. */
const HEDGE_DELAY_FACTOR = 5
const MIN_HEDGE_DELAY_MS = 50

/**
 * Decides whether a second attempt, a hedge, is started while the first one is late.
 *
 * Without hedges, each request sent to a target that accepts requests and never answers waits
 * until its deadline. Only idempotent requests are hedged, once each, while slots are free and
 * no request waits for them. A hedge is charged to the same budget as a retry.
 */
export function decideHedge (input: HedgeInput, budget: RetryBudget, now: number): HedgeDecision {
  if (!input.idempotent || input.attempts > 1) return { kind: 'never' }
  const hedgeAt = input.startedAt + Math.max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * input.costMs)
  if (hedgeAt + input.costMs >= input.deadlineAt) return { kind: 'never' }
  if (now < hedgeAt) return { kind: 'wait', afterMs: hedgeAt - now }
  if (now + input.costMs >= input.deadlineAt) return { kind: 'never' }
  const isSlotSpare = input.freeSlots > 0 && input.waiting === 0
  if (!isSlotSpare || !budget.use(now)) return { kind: 'wait', afterMs: MIN_HEDGE_DELAY_MS }
  return { kind: 'hedge' }
}
