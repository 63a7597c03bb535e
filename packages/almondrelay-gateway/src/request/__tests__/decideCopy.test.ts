import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../__fixtures__/makeTarget.js'
import { computeCopyDelay } from '../computeCopyDelay.js'
import { CopyDecision } from '../copyDecision.js'
import { decideCopy } from '../decideCopy.js'
import { RetryAllowance } from '../retryAllowance.js'
import type { TargetChoice } from '../targetChoice.js'

const test = suite('copies of requests at second targets')
const TARGET_LATENCY_MS = 300
const WARM_MS = 110
const ROUND_TRIP_MS = 9
const RESERVED_SHARE = 1 / 3

const makeSecond = (choice: Partial<TargetChoice> = {}): TargetChoice =>
  ({ target: makeTarget(), expectedMs: ROUND_TRIP_MS + WARM_MS, costMs: 0, workMs: WARM_MS, waitMs: 0, roundTripMs: ROUND_TRIP_MS, rank: 1, outstanding: 0, isCached: false, statedSlowness: 1, statedAgeMs: 100, ...choice })
const decide = (input: Partial<Parameters<typeof decideCopy>[0]> = {}): CopyDecision =>
  decideCopy({ second: makeSecond(), cachedShare: 0.9, warmMs: WARM_MS, targetLatencyMs: TARGET_LATENCY_MS, elapsedMs: 140, findUsage: () => 0.4, ...input })
const computeDelay = (input: Partial<Parameters<typeof computeCopyDelay>[0]> = {}): number =>
  computeCopyDelay({ expectedMs: WARM_MS + ROUND_TRIP_MS, roundTripMs: ROUND_TRIP_MS, warmMs: WARM_MS, targetLatencyMs: TARGET_LATENCY_MS, elapsedMs: 0, ...input })

test('a copy is due after the usual answer and early enough to be on time', () => {
  const delayMs = computeDelay()
  assert.ok(delayMs > WARM_MS + ROUND_TRIP_MS, `${delayMs}`)
  assert.is(decide({ elapsedMs: delayMs }), CopyDecision.send)
  assert.is(computeDelay({ expectedMs: 2.5 * WARM_MS + ROUND_TRIP_MS }), 0)
})

test('a copy that would be late itself is withheld', () => {
  assert.is(decide({ elapsedMs: 200 }), CopyDecision.late)
  assert.is(decide({ second: makeSecond({ statedSlowness: 2.5 }) }), CopyDecision.late)
  assert.is(decide({ cachedShare: 0.2 }), CopyDecision.uncached)
  assert.is(decide({ cachedShare: 0.2, second: makeSecond({ isCached: true }) }), CopyDecision.send)
})

// Guards against a service that is full because every request runs twice.
test('no copy goes to a target with a queue, to a full service or to a target of unknown speed', () => {
  assert.is(decide({ second: makeSecond({ waitMs: 1 }) }), CopyDecision.queue)
  assert.is(decide({ findUsage: () => 0.8 }), CopyDecision.busy)
  assert.is(decide({ second: makeSecond({ statedSlowness: undefined }) }), CopyDecision.unstated)
  assert.is(decide({ second: undefined }), CopyDecision.noTarget)
})

// Of 100 requests 3 take seven times as long as others. Judged by the callers whose answers are on time.
test('copies bring most of the long requests back on time, with few additional arrivals', () => {
  const delayMs = computeDelay()
  const limitMs = TARGET_LATENCY_MS * 0.9
  let withoutCopies = 0
  let withCopies = 0
  let copies = 0
  const requests = 1_000
  for (let index = 0; index < requests; index += 1) {
    const workMs = WARM_MS * (0.85 + 0.3 * (index % 10) / 10)
    const firstMs = ROUND_TRIP_MS + (index % 33 === 0 ? 7 : 1) * workMs
    if (firstMs <= limitMs) withoutCopies += 1
    const isCopied = firstMs > delayMs && decide({ elapsedMs: delayMs }) === CopyDecision.send
    if (isCopied) copies += 1
    const answeredMs = isCopied ? Math.min(firstMs, delayMs + ROUND_TRIP_MS + WARM_MS) : firstMs
    if (answeredMs <= limitMs) withCopies += 1
  }
  assert.is(withoutCopies, requests - 31)
  assert.is(withCopies, requests)
  assert.ok(copies <= requests * 0.05, `${copies} copies`)
})

// Guards against copies that leave no retries to requests whose attempts fail.
test('a third of the retry allowance is left when copies have used all that they may', () => {
  const allowance = new RetryAllowance({ ratio: 0.2, extra: 0, windowMs: 10_000 })
  for (let index = 0; index < 300; index += 1) allowance.observeRequest(0)
  let copies = 0
  while (allowance.use(0, 10, RESERVED_SHARE)) copies += 1
  let retries = 0
  while (allowance.use(0, 10)) retries += 1
  assert.is(copies, 28)
  assert.is(retries, 14)
})

test.run()
