import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { AttemptResult } from '../attemptResult.js'
import { decideNextStep } from '../decideNextStep.js'
import { NextStep } from '../nextStep.js'
import type { TargetAnswerHead } from '../targetAnswerHead.js'

const test = suite('decideNextStep')

const makeAnswer = (head: Partial<TargetAnswerHead>): AttemptResult => ({
  kind: 'answered',
  body: Buffer.alloc(0),
  head: { status: 200, rawHeaders: [], requestId: 'a', isNotRun: false, refusesUnread: false, isMisdirected: false, isGenuine: true, keepAliveMs: undefined, closesConnection: false, load: undefined, coldForMs: undefined, requestLimit: Infinity, isLeaving: false, pauseMs: 0, ...head }
})

// A payroll officer approves leave once; the target books it, and its answer is lost. If the request were sent again to a second
// target, the leave would be deducted twice.
test('a request that is not idempotent is never sent again where it may have run', () => {
  const doubts: AttemptResult[] = [
    { kind: 'broken', reason: 'ECONNRESET' },
    makeAnswer({ isGenuine: false }),
    makeAnswer({ status: 503 }),
    makeAnswer({ status: 429 }),
    makeAnswer({ status: 408 })
  ]
  for (const doubt of doubts) {
    assert.is(decideNextStep(doubt, false), NextStep.giveUp)
    assert.is(decideNextStep(doubt, true), NextStep.retryMaybeRun)
  }
})

test('a request that did not run, as its target states, may be sent to another target', () => {
  for (const isIdempotent of [true, false]) {
    assert.is(decideNextStep(makeAnswer({ status: 503, isNotRun: true, isGenuine: false }), isIdempotent), NextStep.retryNotRun)
    assert.is(decideNextStep(makeAnswer({ status: 421, isMisdirected: true, isGenuine: false }), isIdempotent), NextStep.retryNotRun)
    assert.is(decideNextStep({ kind: 'not-sent', reason: 'no connection' }, isIdempotent), NextStep.resend)
  }
})

test('a target that failed has run the request: its answer is passed on, or the request retried where it is idempotent', () => {
  assert.is(decideNextStep(makeAnswer({ status: 500 }), false), NextStep.deliver)
  assert.is(decideNextStep(makeAnswer({ status: 500 }), true), NextStep.retryMaybeRun)
  assert.is(decideNextStep(makeAnswer({ status: 404 }), true), NextStep.deliver)
  assert.is(decideNextStep(makeAnswer({}), false), NextStep.deliver)
})

test.run()
