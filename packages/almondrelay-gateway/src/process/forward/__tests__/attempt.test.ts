import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeRequest } from '../../../connection/__fixtures__/makeRequest.js'
import { PlainTargetCodec } from '../../../connection/__fixtures__/plainTargetCodec.js'
import type { TargetPool } from '../../../connection/targetPool.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import type { TargetChoice } from '../../../request/targetChoice.js'
import { Attempt } from '../attempt.js'

const test = suite('Attempt')
const choice: TargetChoice = { target: makeTarget(), expectedMs: 1, costMs: 1, workMs: 1, waitMs: 0, roundTripMs: 0, rank: 0, outstanding: 0, isCached: true }

const links = { isLost: () => false, verifyLoss: () => Promise.resolve(false), addSend: () => () => undefined }
const carriers = { carry: () => Promise.reject(new Error('nothing to carry')) }

// Guards against an exception while a request is sent, caused by the request or the target's entry: nothing handled the
// rejection, and the process exited.
test('an error thrown while a request is sent becomes the result of the attempt', async () => {
  const attempt = new Attempt(makeRequest(), choice, { codec: new PlainTargetCodec(), links, carriers, describeSuspect: () => ({ suspectId: { fingerprint: '', organisation: '' }, isTrial: false }), getNow: () => 0, isIdentified: () => true, isQuarantined: () => false, claimSend: () => true })
  const result = await attempt.run({ acquire: () => Promise.reject(new Error('no such port')) } as unknown as TargetPool)
  assert.equal(result, { kind: 'not-sent', reason: 'failed in this host: no such port' })
  assert.is(choice.target.inFlight, 0)
})

test.run()
