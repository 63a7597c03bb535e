import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeRequest } from '../../../connection/__fixtures__/makeRequest.js'
import { RequestFingerprint } from '../requestFingerprint.js'
import { SuspectTable } from '../suspectTable.js'

const test = suite('SuspectTable')
const makeText = (number: number): string => number.toString(16).padStart(32, '0')

// Guards against one organisation whose failing requests evict the quarantined request of another one on every host.
test('a flood of suspects of one organisation evicts none of another one', () => {
  const table = new SuspectTable()
  const held = table.touch(makeText(1), 'clinic', 0)
  held.merge({ ended: [1, 2, 3], cleared: [] }, 0)
  for (let number = 2; number < 5_000; number += 1) table.touch(makeText(number), 'school', number / 1_000)
  assert.is(table.find(makeText(1)), held)
  assert.ok(table.list().length <= 2_000)
})

test('of one organisation, quarantined suspects are evicted last', () => {
  const table = new SuspectTable()
  table.touch(makeText(1), 'school', 0).merge({ ended: [1, 2, 3], cleared: [] }, 0)
  for (let number = 2; number < 3_000; number += 1) table.touch(makeText(number), 'school', 1)
  assert.ok(table.find(makeText(1))?.isQuarantined)
})

test('a suspect whose request no longer arrives is dropped', () => {
  const table = new SuspectTable()
  const fingerprint = new RequestFingerprint(makeRequest())
  table.touch(fingerprint.text, '', 0)
  assert.ok(table.match(fingerprint))
  table.expire(1_000_000)
  assert.is(table.match(fingerprint), undefined)
  assert.is(table.list().length, 0)
})

// Guards against hashing the body of every large request as soon as any request is quarantined.
test('the body of a request that cannot be a suspect is not read', () => {
  const table = new SuspectTable()
  table.touch(makeText(1), '', 0)
  const request = makeRequest()
  Object.defineProperty(request, 'body', { get: () => { throw new Error('read') } })
  assert.is(table.match(new RequestFingerprint(request)), undefined)
})

test.run()
