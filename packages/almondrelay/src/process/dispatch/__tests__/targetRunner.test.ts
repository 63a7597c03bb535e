import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Attempt } from '../../../request/attempt.js'
import type { TargetReply } from '../../../request/targetReply.js'
import { ServiceSpec } from '../../../version/resources/serviceSpec.js'
import { FakeClock } from '../../platform/__fixtures__/fakeClock.js'
import { TargetChooser } from '../../../request/choice/targetChooser.js'
import { HostSlots } from '../../limits/hostSlots.js'
import { RegionLimits } from '../../limits/regionLimits.js'
import { HostCapacity } from '../hostCapacity.js'
import { ServiceRuntime } from '../serviceRuntime.js'
import { TargetRunner } from '../targetRunner.js'
import { TargetSender } from '../targetSender.js'

const HOST = { host: 'akl-a-1', incarnation: 1, availabilityZone: 'akl-a', region: 'akl' }
const TARGET = { name: 't', address: '127.0.0.1:1', availabilityZone: 'akl-a', slots: 2, connections: 10 }
const SPEC = ServiceSpec.parse({ targets: [TARGET] })

/** Answers only when its signal aborts. */
class HangingSender extends TargetSender {
  override send (_address: string, _request: object, signal: AbortSignal): Promise<TargetReply> {
    return new Promise((resolve) => {
      const finish = (): void => { resolve({ kind: 'lost', message: 'aborted', broken: false }) }
      if (signal.aborted) finish()
      signal.addEventListener('abort', finish)
    })
  }
}

function createParts () {
  const clock = new FakeClock()
  const slots = new HostSlots(HOST)
  slots.adoptRoster({ version: 1, availabilityZone: 'akl-a', hosts: [{ name: 'akl-a-1', incarnation: 1 }] }, 0)
  const capacity = new HostCapacity({ region: 'akl', slots, limits: new RegionLimits(HOST, slots.claims), wakeLoans: () => undefined })
  capacity.adoptTargets('approvals', [TARGET], 10_000, 0)
  const runtime = new ServiceRuntime('approvals', SPEC, new TargetChooser())
  runtime.applySpec(SPEC, 'akl-a', new Set(), 0)
  const runner = new TargetRunner({ clock, slots: capacity, sender: new HangingSender(), signal: new AbortController().signal })
  return { clock, capacity, runtime, runner }
}

const makeAttempt = (attemptId: string, deadlineAt: number): Attempt => ({
  attemptId, requestId: attemptId, service: 'approvals', caller: 'c', route: 'GET /a', method: 'GET', path: '/a', headers: [], body: new Uint8Array(0), idempotent: true, deadlineAt
})

// Callers that closed their connections while they waited were counted as failures of the target, which then got no more
// requests. With one target in a zone, the whole zone was limited to one trial request at a time.
test('a caller that goes away does not count against the target', async () => {
  const { clock, capacity, runtime, runner } = createParts()
  for (const id of ['a', 'b', 'c']) {
    assert.ok(capacity.acquire('approvals', 't', id, 5_000, clock.getNow()))
    const caller = new AbortController()
    const result = runner.run(makeAttempt(id, clock.getNow() + 5_000), 't', runtime, caller.signal)
    await clock.advance(50)
    caller.abort()
    assert.is((await result).kind, 'unknown')
    await clock.advance(1_000)
  }
  assert.ok(runtime.chooser.countReady(clock.getNow()) > 0)
})

// When a caller disconnects, the target needs a moment to notice the closed connection. If the slot were released at
// once, the target would run one request more than it has slots.
test('a slot whose answer was given up on stays taken while the target may still work', async () => {
  const { clock, capacity, runtime, runner } = createParts()
  capacity.acquire('approvals', 't', 'a', 5_000, 0)
  const caller = new AbortController()
  const result = runner.run(makeAttempt('a', 5_000), 't', runtime, caller.signal)
  await clock.advance(10)
  caller.abort()
  await result
  assert.is(capacity.countFree('approvals', clock.getNow()), 1)
  await clock.advance(500)
  assert.is(capacity.countFree('approvals', clock.getNow()), 2)
})

// The process is suspended after admission and resumes after the deadline. Sending the attempt then would run a request
// whose caller may already have been told that it failed.
test('an attempt whose deadline has passed is not sent', async () => {
  const { clock, capacity, runtime, runner } = createParts()
  capacity.acquire('approvals', 't', 'a', 100, 0)
  await clock.advance(200)
  const result = await runner.run(makeAttempt('a', 100), 't', runtime)
  assert.is(result.kind, 'not-run')
  assert.is(capacity.countFree('approvals', clock.getNow()), 2)
})

// A target is removed from the configuration after a request has acquired its slot and before the request is sent. The
// slot has to be released, or the target has one slot less when it is added again.
test('the slot of a target that was removed meanwhile comes back', async () => {
  const { clock, capacity, runtime, runner } = createParts()
  capacity.acquire('approvals', 't', 'a', 5_000, 0)
  runtime.applySpec({ ...SPEC, targets: [] }, 'akl-a', new Set(), 0)
  const result = await runner.run(makeAttempt('a', 5_000), 't', runtime)
  assert.is(result.kind, 'not-run')
  assert.is(capacity.countFree('approvals', clock.getNow()), 2)
})

test.run()
