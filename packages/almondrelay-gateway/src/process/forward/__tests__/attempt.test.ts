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

const PARTS = { codec: new PlainTargetCodec(), describeSuspect: () => ({ suspectId: { fingerprint: '', organisation: '' }, isTrial: false }), getNow: () => 0, isIdentified: () => true, isQuarantined: () => false, claimSend: () => true }
const links = { isLost: () => false, verifyLoss: () => Promise.resolve(false), addSend: () => () => undefined }
const carriers = { isSilent: () => false, carry: () => Promise.reject(new Error('nothing to carry')) }

// Guards against an exception while a request is sent, caused by the request or the target's entry: nothing handled the
// rejection, and the process exited.
test('an error thrown while a request is sent becomes the result of the attempt', async () => {
  const attempt = new Attempt(makeRequest(), choice, { ...PARTS, links, carriers })
  const result = await attempt.run({ acquire: () => Promise.reject(new Error('no such port')) } as unknown as TargetPool)
  assert.equal(result, { kind: 'not-sent', reason: 'failed in this host: no such port' })
  assert.is(choice.target.inFlight, 0)
})

// Guards against idempotent requests that wait until their deadline for a carrier which has stopped.
test('an attempt is cut off once the host that carries it is silent, and not before it is written to it', async () => {
  let isSilent = true
  let writeToCarrier = (): void => undefined
  const carry: ConstructorParameters<typeof Attempt>[2]['carriers']['carry'] = ({ handleSend }) => {
    writeToCarrier = () => { handleSend(0, 'front-1') }
    return new Promise(() => undefined)
  }
  const attempt = new Attempt(makeRequest(), choice, { ...PARTS, links: { ...links, isLost: () => true }, carriers: { carry, isSilent: (host) => isSilent && host === 'front-1' } })
  void attempt.run({} as TargetPool)
  assert.not(attempt.isCutOff)
  writeToCarrier()
  assert.ok(attempt.isCutOff)
  isSilent = false
  assert.not(attempt.isCutOff)
})

test.run()
