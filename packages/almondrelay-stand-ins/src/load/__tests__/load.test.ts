import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { kowhai } from '../../deployments/kowhai.js'
import { buildTargetAnswer } from '../../target/buildTargetAnswer.js'
import { checkLoad } from '../checkLoad.js'
import { formatLatencies } from '../formatLatencies.js'
import { generateOperations } from '../generateOperations.js'
import type { LoadAnswer } from '../loadAnswer.js'
import type { LoadOperation } from '../loadOperation.js'
import type { LoadPlan } from '../loadPlan.js'
import type { LoadResult } from '../loadResult.js'
import { LoadSender } from '../loadSender.js'
import { runLoad } from '../runLoad.js'

const PLAN: LoadPlan = { deployment: kowhai, seed: 11, rate: 1_000, durationMs: 2_000, deadlineMs: 1_000, writeShare: 0.5 }

/** Answers as a target would, but mixes up the answer of one operation with another's. */
class MixingSender extends LoadSender {
  override async send (operation: LoadOperation): Promise<LoadAnswer> {
    const id = `id-${operation.number === 3 ? 2 : operation.number}`
    const body = Buffer.from(buildTargetAnswer({ requestId: id, target: 't', requestBody: operation.body, answerBytes: operation.answerBytes }))
    return { outcome: 'run', status: 200, reason: '', id: `id-${operation.number}`, target: 't', body }
  }

  override async close (): Promise<void> {}
}

const makeResult = (number: number, outcome: LoadAnswer['outcome'], idempotent = false): LoadResult => {
  const operation: LoadOperation = { number, atMs: 0, caller: 'c', key: 'k', region: 'akl', service: 's', method: 'POST', path: '/', idempotent, body: new Uint8Array(), answerBytes: 0, deadlineMs: 1 }
  return { operation, answer: { outcome, status: 200, reason: '', id: `id-${number}`, target: 't' }, latencyMs: 5, isOwnAnswer: true }
}

test('the same seed gives the same operations, at the planned rate and mix', () => {
  const operations = generateOperations(PLAN)
  assert.equal(generateOperations(PLAN), operations)
  assert.ok(operations.length > 1_850 && operations.length < 2_150, `${operations.length} operations`)
  assert.is(new Set(operations.map((operation) => operation.service)).size, 4)
  assert.is(new Set(operations.map((operation) => operation.region)).size, 3)
  assert.ok(operations.some((operation) => !operation.idempotent))
  assert.not(operations.some((operation) => operation.service === 'balances' && !operation.idempotent))
})

// Two callers' answers are swapped on the way: each sees a status of success and another's leave.
test('an answer of another request is found', async () => {
  const operations = generateOperations({ ...PLAN, durationMs: 20 }).slice(0, 5)
  const results = await runLoad(operations, new MixingSender(), new AbortController().signal)
  const ran = Object.fromEntries(operations.map((operation) => [String(operation.number), 1]))
  assert.equal(checkLoad(results, [{ runs: {}, operations: ran }]).map((problem) => problem.operation), [3])
})

test('double runs, false refusals and false successes are found, over all targets', () => {
  const results = [makeResult(1, 'run'), makeResult(2, 'not-run'), makeResult(3, 'run'), makeResult(4, 'unknown'), makeResult(5, 'run', true)]
  const problems = checkLoad(results, [{ runs: {}, operations: { 1: 1, 2: 1, 4: 1, 5: 2 } }, { runs: {}, operations: { 1: 1 } }])
  assert.equal(problems.map((problem) => `${problem.operation} ${problem.message.split(' (')[0] ?? ''}`), [
    '1 ran 2 times',
    '2 was told not-run and ran 1 times',
    '3 was told run and never ran'
  ])
})

test('latencies are listed by service and outcome', () => {
  const text = formatLatencies([makeResult(1, 'run'), makeResult(2, 'not-run')])
  assert.match(text, /s not-run\s+1\s+5/)
  assert.match(text, /s run\s+1\s+5/)
})

test.run()
