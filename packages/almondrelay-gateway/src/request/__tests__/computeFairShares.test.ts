import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClassWork } from '../classWork.js'
import { computeFairShares } from '../computeFairShares.js'

const test = suite('computeFairShares')
const SEED = 20_261_204

const makeWorks = (asked: ReadonlyArray<[number, number]>): Map<number, ClassWork> => new Map(asked.map(([priority, askedMs], index) => [index + 1, { priority, askedMs, admittedMs: askedMs }]))

test('one organisation at seven times its usual gets what the others leave, and they get all they ask for', () => {
  const { restricted, shareMs } = computeFairShares(makeWorks([[0, 700], [0, 100], [0, 150], [0, 50]]), 500)
  assert.equal([...restricted], [1])
  assert.is(shareMs, 200)
})

test('a rank is served before the next one, whatever it asks for', () => {
  const { restricted, shareMs, marginPriority } = computeFairShares(makeWorks([[0, 300], [1, 700], [2, 10]]), 500)
  assert.equal([...restricted], [2])
  assert.is(shareMs, 200)
  assert.is(marginPriority, 1)
})

test('nobody is restricted while there is room for all, and all are without any capacity', () => {
  assert.is(computeFairShares(makeWorks([[0, 300], [1, 100]]), 400).marginPriority, Infinity)
  assert.is(computeFairShares(makeWorks([[0, 300], [0, 100]]), 0).restricted.size, 2)
  assert.is(computeFairShares(new Map(), 0).marginPriority, Infinity)
})

// Guards against shares that add up to more than the capacity, or leave some of it unused while an organisation is refused.
test('what is granted adds up to the capacity or to all that is asked for, whatever the demand', () => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.nat(3), fc.integer({ min: 1, max: 10_000 })), { maxLength: 80 }), fc.nat(100_000), (asked, capacityMs) => {
    const works = makeWorks(asked)
    const { restricted, shareMs, marginPriority } = computeFairShares(works, capacityMs)
    let granted = 0
    let total = 0
    for (const [hash, { priority, askedMs }] of works) {
      total += askedMs
      if (priority <= marginPriority) granted += restricted.has(hash) ? Math.min(askedMs, shareMs) : askedMs
    }
    return Math.abs(granted - Math.min(total, capacityMs)) < 0.001
  }), { seed: SEED })
})

test.run()
