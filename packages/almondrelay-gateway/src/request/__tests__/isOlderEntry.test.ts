import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { isOlderEntry } from '../isOlderEntry.js'

const test = suite('isOlderEntry')
const order = fc.record({ incarnation: fc.option(fc.nat(3), { nil: undefined }), sequence: fc.nat(3) })

test('of two incarnations the one that started later is newer, of one incarnation the entry with more heartbeats', () => {
  assert.ok(isOlderEntry({ incarnation: 1, sequence: 99 }, { incarnation: 2, sequence: 1 }))
  assert.not(isOlderEntry({ incarnation: 2, sequence: 1 }, { incarnation: 1, sequence: 99 }))
  assert.ok(isOlderEntry({ incarnation: 2, sequence: 1 }, { incarnation: 2, sequence: 2 }))
  assert.not(isOlderEntry({ incarnation: 2, sequence: 2 }, { incarnation: 2, sequence: 2 }))
})

test('entries without a start are one incarnation, older than any with a start', () => {
  assert.ok(isOlderEntry({ incarnation: undefined, sequence: 9 }, { incarnation: 1, sequence: 1 }))
  assert.not(isOlderEntry({ incarnation: 1, sequence: 1 }, { incarnation: undefined, sequence: 9 }))
  assert.ok(isOlderEntry({ incarnation: undefined, sequence: 1 }, { incarnation: undefined, sequence: 2 }))
})

test('of two entries at most one is the older', () => {
  fc.assert(fc.property(order, order, (first, second) => !(isOlderEntry(first, second) && isOlderEntry(second, first))), { seed: 20_261_203 })
})

test.run()
