import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { listScopes } from '../__fixtures__/listScopes.js'
import { LoadRun } from '../__fixtures__/loadRun.js'
import { makeSource } from '../__fixtures__/makeSource.js'
import type { Scope } from '../__fixtures__/scope.js'
import type { Source } from '../__fixtures__/source.js'

const SEED = 21
/** End in virtual time: about the same number of requests for each size, so that 99th percentiles are based on thousands. */
const computeEnd = ({ targets, slots }: Scope): number => targets * slots > 36 ? 8_000 : 40_000
/** Share of capacity; the hot caller or key sends the same amount, so that the sum is above capacity. */
const USUAL_LOAD = 0.65

interface HotCallerResult {
  p99: number
  unserved: number
}

/** Simulates the results of the other callers, with or without a hot caller or key that sends as much as all of them together. */
function simulateHot (scope: Scope, kind: 'ours' | 'plain', usual: Partial<Source>, hot?: Partial<Source>): HotCallerResult {
  const run = new LoadRun({ scope, kind, seed: SEED })
  const end = computeEnd(scope)
  run.addSource(makeSource(scope, USUAL_LOAD, { to: end, ...usual }), SEED)
  if (hot !== undefined) run.addSource(makeSource(scope, USUAL_LOAD, { name: 'hot', callers: 1, keys: 1, to: end, ...hot }), SEED + 1)
  const report = run.run(end + 5_000)
  const selection = { source: 'usual', from: 2_000 }
  return { p99: report.computePercentile(0.99, selection), unserved: report.computeUnserved(selection) }
}

function compareHot (scope: Scope, usual: Partial<Source>, hot: Partial<Source>): void {
  const without = simulateHot(scope, 'ours', usual)
  const ours = simulateHot(scope, 'ours', usual, hot)
  const plain = simulateHot(scope, 'plain', usual, hot)
  console.log(scope.name, hot.key ?? 'caller', 'without', JSON.stringify(without), 'ours', JSON.stringify(ours), 'plain', JSON.stringify(plain))
  assert.ok(ours.p99 <= 1.2 * without.p99, `the others' 99th percentile is ${(ours.p99 / without.p99).toFixed(2)} times that without the hot one`)
  assert.ok(ours.unserved <= 1.2 * without.unserved, `${ours.unserved} of the others' requests unserved, without the hot one ${without.unserved}`)
}

for (const scope of listScopes()) {
  test(`one hot caller at half of all load: ${scope.name}`, () => {
    // A caller's script fetches every balance in a loop. Served in order of arrival, the requests of all
    // other callers wait behind it and slow down or fail, although these callers send no more than usual.
    compareHot(scope, {}, { caller: 'hot' })
  })

  test(`one hot key of one caller at half of all load: ${scope.name}`, () => {
    // One user of a large caller synchronizes a calendar without pause. With fairness by caller only,
    // the same caller's other users wait behind that one.
    compareHot(scope, { caller: 'one', keys: 160 }, { caller: 'one', key: 'hot' })
  })
}

test.run()
