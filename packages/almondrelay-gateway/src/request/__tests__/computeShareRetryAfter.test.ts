import { createSeededRandom } from 'almondrelay'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { computeShareDraw } from '../computeShareDraw.js'
import { computeShareRetryAfter } from '../computeShareRetryAfter.js'
import { SHARE_SLOT_MS } from '../shareSlotMs.js'

const test = suite('computeShareRetryAfter')
const SEED = 3
const CALLERS = 2_000
const REMAINING_MS = 2_000

/** Returns the moments at which refused callers are told to come back. */
const listMoments = (fraction: number): Array<{ hash: number, afterMs: number }> => {
  const random = createSeededRandom(SEED)
  return Array.from({ length: CALLERS }, () => Math.floor(random() * 2 ** 32))
    .filter((hash) => computeShareDraw(hash, 7) >= fraction)
    .map((hash) => ({ hash, afterMs: computeShareRetryAfter({ fraction, requestHash: hash, clockMs: 7.4 * SHARE_SLOT_MS, remainingMs: REMAINING_MS, random: random() }) }))
}
const computeMean = (moments: ReadonlyArray<{ afterMs: number }>): number => moments.reduce((sum, { afterMs }) => sum + afterMs, 0) / moments.length

test('a caller is told at most a third of its time left, and earlier the more of its kind are admitted', () => {
  for (const fraction of [0, 0.1, 0.5]) for (const { afterMs } of listMoments(fraction)) assert.ok(afterMs > 0 && afterMs <= REMAINING_MS / 3)
  assert.ok(computeMean(listMoments(0.5)) < computeMean(listMoments(0.2)))
  assert.ok(computeMean(listMoments(0.2)) < computeMean(listMoments(0.02)))
})

// Guards against refused callers that come back together: a slot must get no more of them than it admits of all.
test('returns are spread at the rate at which room becomes available, and find room at any host', () => {
  const moments = listMoments(0.3)
  const bySlot = new Map<number, number>()
  for (const { hash, afterMs } of moments) {
    const slot = Math.floor((7.4 * SHARE_SLOT_MS + afterMs) / SHARE_SLOT_MS)
    if (computeShareDraw(hash, slot) < 0.3) bySlot.set(slot, (bySlot.get(slot) ?? 0) + 1)
  }
  assert.ok([...bySlot.values()].reduce((sum, count) => sum + count, 0) > moments.length * 0.7)
  for (const count of bySlot.values()) assert.ok(count <= moments.length * 0.3)
})

// Guards against repeats that pay: a caller that ignores its Retry-After must not get another draw at once, at whichever host.
test('a repeat in the same slot is drawn as the first attempt was', () => {
  for (const { hash } of listMoments(0.3)) assert.ok(computeShareDraw(hash, 7) >= 0.3)
})

// Guards against a caller that is told to come back after it has left.
test('a caller with little time left is told at most a third of it too', () => {
  for (const remainingMs of [0, 3, 60]) {
    const afterMs = computeShareRetryAfter({ fraction: 0.5, requestHash: 1, clockMs: 0, remainingMs, random: 0.9 })
    assert.ok(afterMs >= 0 && afterMs <= remainingMs / 3)
  }
})

test.run()
