import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ServiceSpec } from '../../../version/resources/serviceSpec.js'
import { parseCallerRequest } from '../parseCallerRequest.js'

const ID = '01a23897-0f8d-746d-b7dc-ed68a61ac8a6'
const SERVICE = ServiceSpec.parse({ targets: [], maxBodyBytes: 4, routes: [{ method: 'POST', pathPrefix: '/search', idempotent: true }] })

const parse = (headers: Record<string, string>, method = 'POST', path = '/leave', bytes = 1) => {
  const list = Object.entries(headers).map(([name, value]) => ({ name, value }))
  return parseCallerRequest({ method, service: 's', path, headers: list, body: new Uint8Array(bytes) }, SERVICE, { maxDeadlineMs: 1_000 }, () => 'made')
}

const getReason = (result: ReturnType<typeof parse>) => 'refusal' in result ? `${result.refusal.status} ${result.refusal.reason}` : 'parsed'

test('each invalid or missing header is refused with its own reason', () => {
  const whole = { 'Idempotency-Key': ID, 'Almondrelay-Home': 'akl-a-1;5' }
  assert.is(getReason(parse({})), '428 missing-id')
  assert.is(getReason(parse({ 'Idempotency-Key': ID })), '428 missing-home')
  assert.is(getReason(parse({ ...whole, 'Idempotency-Key': '42' })), '400 invalid-header')
  assert.is(getReason(parse({ ...whole, 'Almondrelay-Home': 'akl-a-1' })), '400 invalid-header')
  for (const deadline of ['0', '-5', 'soon', '1.5']) assert.is(getReason(parse({ ...whole, 'Almondrelay-Deadline': deadline })), '400 invalid-header', deadline)
  assert.is(getReason(parse({ ...whole, 'Almondrelay-Attempt': 'x' })), '400 invalid-header')
  assert.is(getReason(parse({ ...whole, 'Almondrelay-Caller': 'a b' })), '400 invalid-header')
  assert.is(getReason(parse(whole, 'POST', '/leave', 5)), '413 body-too-large')
  assert.is(getReason(parse(whole)), 'parsed')
})

test('an idempotent request needs neither id nor home, by method or by the service\'s own rule', () => {
  assert.is(getReason(parse({}, 'GET')), 'parsed')
  assert.is(getReason(parse({}, 'POST', '/search/x')), 'parsed')
})

test('a deadline is limited to the maximum', () => {
  const result = parse({ 'Almondrelay-Deadline': '5000' }, 'GET')
  assert.is('request' in result ? result.request.deadlineMs : 0, 1_000)
})

test.run()
