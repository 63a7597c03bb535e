import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AttemptOutcome } from '../attemptOutcome.js'
import { decideHedge } from '../decideHedge.js'
import { decideRetry } from '../decideRetry.js'
import { RetryBudget } from '../retryBudget.js'
import type { RetryInput } from '../retryInput.js'

const input: RetryInput = { idempotent: true, bytesMayHaveLeft: true, outcome: AttemptOutcome.lost, attempts: 1, deadlineAt: 1_000, costMs: 20 }

test('a non-idempotent request whose bytes may have been sent is retried only when it is known not to have run', () => {
  // The connection to the target is lost after a request that approves leave was sent. If the
  // request were sent to another target, the leave would be deducted twice.
  for (const outcome of Object.values(AttemptOutcome)) {
    const decision = decideRetry({ ...input, idempotent: false, outcome }, new RetryBudget(), 0)
    const isKnownNotRun = outcome === AttemptOutcome.refused || outcome === AttemptOutcome.fenced
    assert.is(decision.kind, isKnownNotRun ? 'retry' : 'stop', outcome)
  }
  assert.is(decideRetry({ ...input, idempotent: false, bytesMayHaveLeft: false }, new RetryBudget(), 0).kind, 'retry')
})

test('retries are limited by attempts, time and budget', () => {
  const budget = new RetryBudget()
  assert.equal(decideRetry({ ...input, attempts: 3 }, budget, 0), { kind: 'stop', reason: 'too-many-attempts' })
  assert.equal(decideRetry({ ...input, deadlineAt: 20 }, budget, 0), { kind: 'stop', reason: 'no-time-left' })
  while (budget.use(0));
  assert.equal(decideRetry(input, budget, 0), { kind: 'stop', reason: 'budget-spent' })
})

test('when every request fails, retries stay within a tenth of the served requests and then nearly stop', () => {
  // A region fails: every attempt of 1,000 requests a second is lost for 10 s. If each
  // request were tried three times, the remaining targets would get three times the load.
  const budget = new RetryBudget()
  for (let request = 0; request < 10_000; request += 1) budget.recordServed(request)
  let retries = 0
  for (let request = 0; request < 10_000; request += 1) {
    const now = 10_000 + request
    if (decideRetry({ ...input, deadlineAt: now + 1_000 }, budget, now).kind === 'retry') retries += 1
  }
  console.log(`retries of 10,000 failed requests: ${retries}`)
  assert.ok(retries <= 12, `${retries} retries`)
})

test('a hedge takes no slot for which another request waits, and only idempotent requests are hedged', () => {
  const hedge = { idempotent: true, attempts: 1, startedAt: 0, deadlineAt: 1_000, costMs: 20, freeSlots: 1, waiting: 0 }
  assert.equal(decideHedge(hedge, new RetryBudget(), 40), { kind: 'wait', afterMs: 60 })
  assert.is(decideHedge(hedge, new RetryBudget(), 100).kind, 'hedge')
  assert.is(decideHedge({ ...hedge, idempotent: false }, new RetryBudget(), 100).kind, 'never')
  assert.is(decideHedge({ ...hedge, waiting: 1 }, new RetryBudget(), 100).kind, 'wait')
  assert.is(decideHedge({ ...hedge, attempts: 2 }, new RetryBudget(), 100).kind, 'never')
})

test.run()
