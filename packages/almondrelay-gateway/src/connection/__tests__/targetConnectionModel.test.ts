import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { exchangePlanArbitrary } from '../__fixtures__/exchangePlanArbitrary.js'
import { runExchangePlan } from '../__fixtures__/runExchangePlan.js'
import { SteppedTarget } from '../__fixtures__/steppedTarget.js'

const test = suite('TargetConnection and what a target writes')

/** Seed and number of cases of the run in CI; MODEL_RUNS names others. */
const [SEED = 20_261_205, RUNS = 2_000] = (process.env.MODEL_RUNS ?? '').split(' ').filter((text) => text !== '').map(Number)
/** Of the times between requests that the plans draw, the longest for which a connection is kept. */
const KEPT_BY_DEFAULT_MS = 100
const KEPT_AS_STATED_MS = 5_000
const thrown: unknown[] = []
const target = new SteppedTarget()
let port = 0

process.on('uncaughtException', (error) => { thrown.push(error) })
test.before(async () => { port = await target.listen() })
test.after(async () => { await target.close() })

// Guards against the answer to one request that is passed to another one, and against a second, a cut or a nameless answer that counts
// as the first one to a request.
test('of a target that writes what it likes each request gets the first answer, whole, or none', async () => {
  await fc.assert(fc.asyncProperty(exchangePlanArbitrary.faulty, async (plan) => {
    await runExchangePlan(target, port, plan)
    assert.equal(thrown.splice(0), [])
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
})

// Guards against a check of answers that costs the requests of sound targets, or a connection for each of them.
test('of a sound target each answer is passed on, and its connections are reused', async () => {
  await fc.assert(fc.asyncProperty(exchangePlanArbitrary.sound, async (plan) => {
    let keptMs = 0
    const { results, openings } = await runExchangePlan(target, port, plan)
    let isReused = false
    for (const [index, { answers: [answer], gapMs, end }] of plan.entries()) {
      if (gapMs > keptMs) isReused = false
      assert.is(openings[index], !isReused, `connection of request ${index}`)
      // A refusal that names no request can be told to be the awaited one's only on a connection without an earlier request.
      const isAnswered: boolean = answer?.label === 'own' || !isReused
      assert.is(results[index]?.kind, isAnswered ? 'answered' : 'broken', `result of request ${index}`)
      isReused = isAnswered && end === 'open' && answer?.closes === false
      keptMs = answer?.keepAliveMs === undefined ? KEPT_BY_DEFAULT_MS : KEPT_AS_STATED_MS
    }
    assert.equal(thrown.splice(0), [])
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
})

test.run()
