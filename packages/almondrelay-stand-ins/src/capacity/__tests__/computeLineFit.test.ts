import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { computeLineFit } from '../computeLineFit.js'
import { formatSection } from '../formatSection.js'

test('points on a line give the line', () => {
  assert.equal(computeLineFit([{ x: 0, y: 3 }, { x: 2, y: 7 }, { x: 10, y: 23 }]), { base: 3, slope: 2, r2: 1 })
})

test('points off a line give an r2 below 1', () => {
  const { r2 } = computeLineFit([{ x: 0, y: 0 }, { x: 1, y: 1 }, { x: 2, y: 8 }])
  assert.ok(r2 > 0.8 && r2 < 0.9)
})

test('a product above its limit is said so', () => {
  const section = { title: 't', slopes: [], products: [{ what: 'a', value: 5, unit: 'ms', limit: 4 }, { what: 'b', value: 3, unit: 'ms', limit: 4 }] }
  const text = formatSection(section)
  assert.match(text, '| a | 5 ms | 4 ms | PASSES ITS LIMIT |')
  assert.match(text, '| b | 3 ms | 4 ms | within |')
})

test.run()
