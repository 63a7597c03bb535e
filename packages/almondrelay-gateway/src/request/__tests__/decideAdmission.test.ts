import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../__fixtures__/makeTarget.js'
import { decideAdmission } from '../decideAdmission.js'

const test = suite('decideAdmission')
const SLOTS = 9
const QUEUE = 27
const CACHED_MS = 108
const UNCACHED_MS = 360
const LATENCY_MS = 400
const LATE_ANSWER_VALUE = 0.2
const DEADLINE_MS = 2_000

interface Arrival { at: number, workMs: number }
type Admit = (workMs: number, waitMs: number) => boolean

/**
 * Simulates a target in virtual time: requests arrive, are admitted or refused, wait their turn and are worked on. Returns the
 * total value of the answers.
 */
const simulateTarget = (arrivals: readonly Arrival[], admit: Admit): number => {
  const freeAt = new Array<number>(SLOTS).fill(0)
  let value = 0
  for (const { at, workMs } of arrivals) {
    const [slot, free] = freeAt.reduce<[number, number]>((best, each, index) => each < best[1] ? [index, each] : best, [0, Infinity])
    const waitMs = Math.max(0, free - at)
    const ahead = freeAt.reduce((sum, each) => sum + Math.max(0, each - at), 0) / CACHED_MS
    if (ahead > SLOTS + QUEUE || !admit(workMs, waitMs) || waitMs + workMs > DEADLINE_MS) continue
    freeAt[slot] = at + waitMs + workMs
    value += waitMs + workMs <= LATENCY_MS ? 1 : LATE_ANSWER_VALUE
  }
  return value
}

/**
 * Makes a burst after the loss of a zone: of each seven requests, three are about objects that were cached elsewhere. The load is
 * one and a half times the target's capacity.
 */
const makeBurst = (): Arrival[] => {
  const meanWorkMs = (4 * CACHED_MS + 3 * UNCACHED_MS) / 7
  const gapMs = meanWorkMs / SLOTS / 1.5
  return Array.from({ length: 600 }, (_, index) => ({ at: index * gapMs, workMs: index % 7 % 2 === 1 ? UNCACHED_MS : CACHED_MS }))
}

const decide = (workMs: number, waitMs: number): number => decideAdmission({
  choice: { target: makeTarget(), expectedMs: workMs + waitMs, costMs: 0, workMs, waitMs, roundTripMs: 0, rank: 0, outstanding: 0, isCached: workMs === CACHED_MS },
  targetLatencyMs: LATENCY_MS,
  elapsedMs: 0,
  remainingMs: DEADLINE_MS
})

// Callers look up plates while a zone is lost: objects that were cached there are worked on from scratch elsewhere, which
// takes three times as long. If such requests were admitted to the queues although they will be late, they would also delay those
// whose object is cached: most requests would be answered, but few in time.
test('in a burst with many uncached objects, requests that can be on time are served before those that can not', () => {
  const burst = makeBurst()
  const plain = simulateTarget(burst, () => true)
  const wholeWork = simulateTarget(burst, (workMs, waitMs) => waitMs <= Math.max((LATENCY_MS - workMs) * 0.9, workMs))
  const product = simulateTarget(burst, (workMs, waitMs) => decide(workMs, waitMs) === 0)
  assert.ok(product > plain * 1.5, `product ${product}, with all queues filled ${plain}`)
  assert.ok(product > wholeWork * 1.1, `product ${product}, with a wait of the whole work always accepted ${wholeWork}`)
})

test('a request about an uncached object is admitted where a slot is free, so that no key is shut out', () => {
  assert.is(decide(UNCACHED_MS, 0), 0)
  assert.is(decide(LATENCY_MS * 2, 0), 0)
})

test('a refused caller is told by how much the queue is too long, and never less than the minimum', () => {
  assert.is(decide(CACHED_MS, 600), 600 - (LATENCY_MS - CACHED_MS) * 0.9)
  assert.is(decide(CACHED_MS, 265), 40)
})

test.run()
