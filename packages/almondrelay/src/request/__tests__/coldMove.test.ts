import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DrainPacer } from '../../version/pacing/drainPacer.js'
import { DecisionHost } from '../__fixtures__/decisionHost.js'
import { EventLoop } from '../__fixtures__/eventLoop.js'
import { FakeTarget } from '../__fixtures__/fakeTarget.js'
import { listScopes } from '../__fixtures__/listScopes.js'
import { LoadReport } from '../__fixtures__/loadReport.js'
import { PlainHost } from '../__fixtures__/plainHost.js'
import type { Scope } from '../__fixtures__/scope.js'
import { createSeededRandom } from '../createSeededRandom.js'

const SEED = 71
const MOVE_AT = 10_000
const END = 40_000
const LOAD = 0.6
const COLD_FACTOR = 5
const STEP_MS = 250

interface MoveResult {
  warmP99: number
  p99: number
  unserved: number
  mostMoved: number
  movedShare: number
}

/** Moves all work of warm targets to an equal number of idle, cold targets, either paced or at once. */
function simulateMove (scope: Scope, kind: 'ours' | 'plain', cap: number): MoveResult {
  const loop = new EventLoop()
  const report = new LoadReport()
  const random = createSeededRandom(SEED)
  const makeTargets = (name: string): FakeTarget[] => Array.from({ length: scope.targets }, (_, index) => new FakeTarget(`${name}${index}`, scope.slots))
  const cold = makeTargets('cold')
  cold.forEach((target) => { target.coldFactor = COLD_FACTOR })
  const makeHost = (targets: FakeTarget[], seed: number): DecisionHost | PlainHost =>
    kind === 'ours' ? new DecisionHost(loop, targets, createSeededRandom(seed)) : new PlainHost(loop, targets)
  const from = makeHost(makeTargets('warm'), SEED + 1)
  const to = makeHost(cold, SEED + 2)
  const inFlight = { from: 0, to: 0 }
  from.subscribe((request, outcome, now) => { inFlight.from -= 1; report.add(request, outcome, now) })
  to.subscribe((request, outcome, now) => { inFlight.to -= 1; report.add(request, outcome, now) })
  const pacer = new DrainPacer()
  let share = 0
  let mostMoved = 0
  const advance = (): void => {
    const receiversHeadroom = to instanceof DecisionHost ? to.chooser.headroom - to.queue.waiting : Infinity
    const demand = LOAD * scope.targets * scope.slots
    share = kind === 'plain' ? 1 : pacer.advance({ wantedShare: 1, demand, running: inFlight.from, receiversHeadroom, cap }, loop.now).movedShare
    loop.schedule(loop.now + STEP_MS, advance)
  }
  loop.schedule(MOVE_AT, advance)
  let sent = 0
  const sendNext = (): void => {
    if (loop.now >= END) return
    const isMoved = random() < share && (kind === 'plain' || inFlight.to < cap)
    const side = isMoved ? 'to' : 'from'
    sent += 1
    inFlight[side] += 1
    mostMoved = Math.max(mostMoved, inFlight.to)
    const workMs = -Math.log(1 - random()) * scope.meanMs
    const request = { id: `r${sent}`, caller: `c${sent % 40}`, key: '', route: 'GET /usual', source: 'usual', workMs, attempt: 1, arrivedAt: loop.now, deadlineAt: loop.now + 1_000 }
    ;(isMoved ? to : from).offer(request)
    loop.schedule(loop.now - Math.log(1 - random()) * scope.meanMs / (LOAD * scope.targets * scope.slots), sendNext)
  }
  sendNext()
  loop.run(END + 5_000)
  const during = { from: MOVE_AT, to: END }
  return {
    warmP99: report.computePercentile(0.99, { from: 2_000, to: MOVE_AT }),
    p99: report.computePercentile(0.99, during),
    unserved: report.computeUnserved(during),
    mostMoved,
    movedShare: share
  }
}

for (const scope of listScopes()) {
  test(`move of a region's load to idle, cold targets: ${scope.name}`, () => {
    // A region is drained for maintenance. Its whole load moves to targets that were idle for hours and answer
    // five times slower. Moved all at once, it exceeds their capacity, and queues grow during the drain.
    const cap = scope.targets * scope.slots
    const ours = simulateMove(scope, 'ours', cap)
    const plain = simulateMove(scope, 'plain', cap)
    console.log(scope.name, 'ours', JSON.stringify(ours), 'plain', JSON.stringify(plain))
    assert.ok(ours.p99 < 2 * ours.warmP99, `99th percentile ${(ours.p99 / ours.warmP99).toFixed(2)} times the warm one`)
    assert.ok(ours.mostMoved <= cap, 'the cap is never exceeded')
    assert.ok(ours.movedShare > 0.99, 'the move is completed')
  })
}

test.run()
