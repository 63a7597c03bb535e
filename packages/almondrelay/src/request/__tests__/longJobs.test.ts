import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { listScopes } from '../__fixtures__/listScopes.js'
import { LoadRun } from '../__fixtures__/loadRun.js'
import { makeSource } from '../__fixtures__/makeSource.js'
import type { Scope } from '../__fixtures__/scope.js'

const SEED = 41
const END = 120_000
const LONG_FACTOR = 50
const LONG_SHARE = 0.05
const LONG_DEADLINE_MS = 30_000
/** Share of capacity, short and long work together. */
const TOTAL_LOAD = 0.7

interface LongJobsResult {
  shortP99: number
  shortUnserved: number
  longP99: number
  longUnserved: number
}

function simulateLongJobs (scope: Scope, kind: 'ours' | 'plain', withLong: boolean): LongJobsResult {
  const run = new LoadRun({ scope, kind, seed: SEED })
  const longOverShort = LONG_FACTOR * LONG_SHARE / (1 - LONG_SHARE)
  const shortLoad = TOTAL_LOAD / (1 + longOverShort)
  run.addSource(makeSource(scope, shortLoad, { name: 'short', route: 'GET /short', to: END }), SEED)
  const long = { name: 'long', route: 'GET /long', meanMs: LONG_FACTOR * scope.meanMs, deadlineMs: LONG_DEADLINE_MS, to: END }
  if (withLong) run.addSource(makeSource(scope, shortLoad * longOverShort, long), SEED + 1)
  const report = run.run(END + LONG_DEADLINE_MS)
  const short = { source: 'short', from: 10_000 }
  const longSelection = { source: 'long', from: 10_000 }
  return {
    shortP99: report.computePercentile(0.99, short),
    shortUnserved: report.computeUnserved(short),
    longP99: report.computePercentile(0.99, longSelection),
    longUnserved: report.computeUnserved(longSelection)
  }
}

for (const scope of listScopes()) {
  test(`5% of jobs 50 times longer: ${scope.name}`, () => {
    // Only one request in twenty is a long job, such as a yearly report. Without slots reserved for short
    // work, every slot eventually runs a long job, and short requests wait a second for a slot.
    const without = simulateLongJobs(scope, 'ours', false)
    const ours = simulateLongJobs(scope, 'ours', true)
    const plain = simulateLongJobs(scope, 'plain', true)
    console.log(scope.name, 'without', JSON.stringify(without), 'ours', JSON.stringify(ours), 'plain', JSON.stringify(plain))
    assert.ok(ours.shortP99 <= 2 * without.shortP99, `the short ones' 99th percentile is ${(ours.shortP99 / without.shortP99).toFixed(2)} times that without the long ones`)
    assert.ok(ours.longUnserved <= 0.05, `${ours.longUnserved} of the long ones unserved`)
  })
}

test.run()
