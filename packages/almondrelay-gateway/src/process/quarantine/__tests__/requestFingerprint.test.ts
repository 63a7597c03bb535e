import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeRequest } from '../../../connection/__fixtures__/makeRequest.js'
import { makeOrganisation } from '../../../version/__fixtures__/makeOrganisation.js'
import { RequestFingerprint } from '../requestFingerprint.js'

const test = suite('RequestFingerprint')
const computeFingerprint = (request: ReturnType<typeof makeRequest>): string => new RequestFingerprint(request).text
const identify = (name: string): { identity: { kind: 'organisation', organisation: ReturnType<typeof makeOrganisation> } } => ({ identity: { kind: 'organisation', organisation: makeOrganisation({ name }) } })

test('attempts of one caller share a fingerprint', () => {
  const first = computeFingerprint(makeRequest({ id: 'a1', arrivedAt: 1, deadline: 5 }))
  assert.is(computeFingerprint(makeRequest({ id: 'a2', arrivedAt: 9, deadline: 50 })), first)
  assert.match(first, /^[0-9a-f]{32}$/)
})

// Guards against one organisation repeating another's request to get it quarantined.
test('requests of different organisations never share a fingerprint', () => {
  const [one, other, none] = [makeRequest(identify('one')), makeRequest(identify('other')), makeRequest()].map(computeFingerprint)
  assert.is(new Set([one, other, none]).size, 3)
})

test('method, URL and body each change the fingerprint, and none can be mistaken for another', () => {
  const requests = [
    makeRequest(),
    makeRequest({ method: 'POST' }),
    makeRequest({ url: '/one/3' }),
    makeRequest({ body: Buffer.from('a') }),
    makeRequest({ url: '/one/2"]\n', body: Buffer.from('a') })
  ]
  assert.is(new Set(requests.map(computeFingerprint)).size, requests.length)
})

test.run()
