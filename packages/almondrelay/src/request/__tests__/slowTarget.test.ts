import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DecisionHost } from '../__fixtures__/decisionHost.js'
import type { FakeTarget } from '../__fixtures__/fakeTarget.js'
import { listScopes } from '../__fixtures__/listScopes.js'
import { LoadRun } from '../__fixtures__/loadRun.js'
import { makeSource } from '../__fixtures__/makeSource.js'
import type { Scope } from '../__fixtures__/scope.js'

const SEED = 31
const FAULT_AT = 5_000
/** End in virtual time: large sizes get enough requests in less time. */
const computeEnd = ({ targets, slots }: Scope): number => targets * slots > 36 ? 9_000 : 30_000
const REPORT_INTERVAL_MS = 1_000

interface FaultResult {
  /** Answers in time after the fault, divided by the number that the healthy targets can give or callers ask for. */
  goodput: number
  late: number
  p99: number
}

type Fault = (run: LoadRun, target: FakeTarget) => void

/**
 * Simulates a fault of one target at `load` times the capacity of the healthy targets; above that capacity, only the
 * decisions limit goodput.
 */
function simulateFault (scope: Scope, kind: 'ours' | 'plain', load: number, inject: Fault): FaultResult {
  const run = new LoadRun({ scope, kind, seed: SEED })
  const end = computeEnd(scope)
  const healthy = (scope.targets - 1) / scope.targets
  run.addSource(makeSource(scope, load * healthy, { to: end }), SEED)
  run.loop.schedule(FAULT_AT, () => inject(run, run.targets[0] as FakeTarget))
  const report = run.run(end + 5_000)
  const selection = { from: FAULT_AT, to: end }
  const possible = Math.min(1, load) * healthy * scope.targets * scope.slots / scope.meanMs * (end - FAULT_AT)
  return {
    goodput: report.count('answered', selection) / possible,
    late: report.count('late', selection),
    p99: report.computePercentile(0.99, selection)
  }
}

/** Simulates a health endpoint that always reports the same load, whatever the actual state. */
const reportAlways = (run: LoadRun, target: FakeTarget, load: number): void => {
  if (run.loop.now > 30_000) return
  if (run.host instanceof DecisionHost) run.host.chooser.report(target.name, { load, leaving: false, healthy: true }, run.loop.now)
  run.loop.schedule(run.loop.now + REPORT_INTERVAL_MS, () => reportAlways(run, target, load))
}

const faults: Record<string, Fault> = {
  'ten times slower': (_run, target) => { target.factor = 10 },
  'accepts and never answers': (_run, target) => { target.isSilent = true },
  'ten times slower and says that it is idle': (run, target) => {
    target.factor = 10
    reportAlways(run, target, 0)
  },
  'healthy and says that it is full': (run, target) => reportAlways(run, target, 1)
}

for (const scope of listScopes()) {
  for (const [name, inject] of Object.entries(faults)) {
    test(`one target ${name}: ${scope.name}`, () => {
      // One of several targets fails. Callers whose requests are sent to it wait until their deadline, and its
      // slots and the queue fill up, until the healthy targets are idle.
      for (const load of [0.9, 1.1]) {
        const ours = simulateFault(scope, 'ours', load, inject)
        const plain = simulateFault(scope, 'plain', load, inject)
        console.log(scope.name, name, load, 'ours', JSON.stringify(ours), 'plain', JSON.stringify(plain))
        assert.ok(ours.goodput >= 0.95, `goodput ${ours.goodput.toFixed(3)} at load ${load}`)
      }
    })
  }
}

test.run()
