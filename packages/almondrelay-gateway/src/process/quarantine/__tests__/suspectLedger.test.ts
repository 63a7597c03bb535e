import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeRequest } from '../../../connection/__fixtures__/makeRequest.js'
import { RequestFingerprint } from '../requestFingerprint.js'
import { SuspectLedger } from '../suspectLedger.js'

const test = suite('SuspectLedger')
const makeText = (number: number): string => number.toString(16).padStart(32, '0')

// Guards against one organisation whose failing requests push the quarantined request of another out of every host's memory.
test('a flood of one organisation leaves those of others', () => {
  const ledger = new SuspectLedger()
  const held = ledger.touch(makeText(1), 'clinic', 0)
  held.merge({ ended: [1, 2, 3], cleared: [] }, 0)
  for (let number = 2; number < 5_000; number += 1) ledger.touch(makeText(number), 'school', number / 1_000)
  assert.is(ledger.find(makeText(1)), held)
  assert.ok(ledger.list().length <= 2_000)
})

test('of one organisation those that are quarantined go last', () => {
  const ledger = new SuspectLedger()
  ledger.touch(makeText(1), 'school', 0).merge({ ended: [1, 2, 3], cleared: [] }, 0)
  for (let number = 2; number < 3_000; number += 1) ledger.touch(makeText(number), 'school', 1)
  assert.ok(ledger.find(makeText(1))?.isQuarantined)
})

test('what is not asked for any more is forgotten', () => {
  const ledger = new SuspectLedger()
  const fingerprint = new RequestFingerprint(makeRequest())
  ledger.touch(fingerprint.text, '', 0)
  assert.ok(ledger.match(fingerprint))
  ledger.expire(1_000_000)
  assert.is(ledger.match(fingerprint), undefined)
  assert.is(ledger.list().length, 0)
})

// Guards against a host that hashes the body of every large request as soon as anything is quarantined.
test('the body of a request that can not be one of them is not read', () => {
  const ledger = new SuspectLedger()
  ledger.touch(makeText(1), '', 0)
  const request = makeRequest()
  Object.defineProperty(request, 'body', { get: () => { throw new Error('read') } })
  assert.is(ledger.match(new RequestFingerprint(request)), undefined)
})

test.run()
