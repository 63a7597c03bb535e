import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { IndexedHeap } from '../indexedHeap.js'

const SEED = 20_261
const operations = fc.array(fc.record({ item: fc.integer({ min: 0, max: 30 }), priority: fc.integer({ min: 0, max: 50 }), remove: fc.boolean() }))

test('items are taken by priority, also after moves and removals', () => {
  fc.assert(fc.property(operations, (steps) => {
    const heap = new IndexedHeap<number>()
    const model = new Map<number, number>()
    for (const { item, priority, remove } of steps) {
      if (remove) assert.is(heap.remove(item), model.delete(item))
      else {
        heap.set(item, priority)
        model.set(item, priority)
      }
      assert.is(heap.size, model.size)
    }
    const priorities: number[] = []
    while (heap.size > 0) {
      priorities.push(heap.findPriority() ?? NaN)
      heap.take()
    }
    assert.equal(priorities, [...model.values()].sort((one, other) => one - other))
  }), { seed: SEED, numRuns: 500 })
})

test.run()
