import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SecondPlaces } from '../secondPlaces.js'

const test = suite('SecondPlaces')
const WORK = { rank: 1, waitMs: 0, usualMs: 110, warmMs: 110, coldMs: 370 }

test('the share of second targets that have the object is learnt, and forgotten over time', () => {
  const places = new SecondPlaces()
  const initial = places.getCachedShare(0)
  for (let count = 0; count < 40; count += 1) places.observeWork({ ...WORK, usualMs: 370 }, 0)
  assert.ok(places.getCachedShare(0) < 0.05)
  assert.ok(Math.abs(places.getCachedShare(60_000) - initial) < 0.01)
  for (let count = 0; count < 40; count += 1) places.observeWork(WORK, 60_000)
  assert.ok(places.getCachedShare(60_000) > 0.95)
})

// Targets that remember fewer objects than they serve: each object at a second target evicts one that another key needs.
test('many misses at preferred targets show that memory is full, single ones do not', () => {
  const places = new SecondPlaces()
  for (let count = 0; count < 300; count += 1) places.observeWork({ ...WORK, rank: 0, usualMs: count % 25 === 0 ? 370 : 110 }, 0)
  assert.ok(places.computeMemoryUse() < 0.2, String(places.computeMemoryUse()))
  for (let count = 0; count < 300; count += 1) places.observeWork({ ...WORK, rank: 0, usualMs: count % 3 === 0 ? 370 : 110 }, 0)
  assert.is(places.computeMemoryUse(), 1)
})

// One request in 30 takes seven times as long, and under load requests wait in queues: neither is a miss.
test('long requests and those that waited teach nothing', () => {
  const places = new SecondPlaces()
  for (let count = 0; count < 100; count += 1) {
    places.observeWork({ ...WORK, rank: 0, usualMs: 770 }, 0)
    places.observeWork({ ...WORK, rank: 0, waitMs: 50, usualMs: 370 }, 0)
  }
  assert.is(places.computeMemoryUse(), 0)
})

test.run()
