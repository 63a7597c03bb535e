import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FakeClock } from '../../platform/__fixtures__/fakeClock.js'
import { FakePlatform } from '../../platform/__fixtures__/fakePlatform.js'
import { createTestHost } from '../__fixtures__/createTestHost.js'
import { makeWrite } from '../__fixtures__/makeWrite.js'
import type { WriteOutcome } from '../writeOutcome.js'

const never = new AbortController().signal

function createSystem () {
  const clock = new FakeClock()
  const platform = new FakePlatform(clock)
  return { clock, platform, host: createTestHost(platform, clock), other: createTestHost(platform, clock) }
}

async function runFor<Result> (clock: FakeClock, ms: number, work: Promise<Result>): Promise<Result> {
  await clock.advance(ms)
  return await work
}

async function listLog (platform: FakePlatform): Promise<string[]> {
  const entries = await platform.list('changes/', '', 100, never)
  return entries.map((entry) => (JSON.parse(entry.value) as { writeId: string }).writeId)
}

// An operator applies a cap and gets a time-out although the cap is in force: the platform stored
// the change, but its answer was lost. The writer must be told that it was accepted.
test('a write whose answer is lost is found by its id and reported as accepted', async () => {
  const { clock, platform, host } = createSystem()
  platform.faults.lostAnswers = 2
  const outcome = await runFor(clock, 5_000, host.changeLog.submit(makeWrite('w1', 'akl'), never))
  assert.equal(outcome, { outcome: 'accepted', writeId: 'w1', revision: 1 })
  assert.equal(await listLog(platform), ['w1'])
})

test('a write that is lost in transit is retried and applied once', async () => {
  const { clock, platform, host } = createSystem()
  platform.faults.lostWrites = 1
  const outcome = await runFor(clock, 5_000, host.changeLog.submit(makeWrite('w1', 'akl'), never))
  assert.equal(outcome, { outcome: 'accepted', writeId: 'w1', revision: 1 })
})

// A write is delayed in the network and retried, and then the first copy arrives too. Another
// operator has made a change between the two. The late copy must not undo or double anything.
test('a copy of a write that arrives late changes nothing', async () => {
  const { clock, platform, host, other } = createSystem()
  platform.faults.lateWriteMs = 10_000
  const outcome = await runFor(clock, 2_000, host.changeLog.submit(makeWrite('w1', 'akl'), never))
  assert.is(outcome.outcome, 'accepted')
  await other.changeLog.submit(makeWrite('w2', 'wlg'), never)
  await clock.advance(20_000)
  assert.equal(await listLog(platform), ['w1', 'w2'])
})

// Two operators change the same region through two hosts at the same time. One write wins; the answer to the other
// must name the revision it lost to, and the other must not be in force anywhere.
test('of two conflicting writes one wins and the other names the revision it lost to', async () => {
  const { platform, host, other } = createSystem()
  const outcomes = await Promise.all([host.changeLog.submit(makeWrite('w1', 'akl', 10), never), other.changeLog.submit(makeWrite('w2', 'akl', 20), never)])
  assert.equal(outcomes.map((each) => each.outcome).sort(), ['accepted', 'conflict'])
  assert.equal(outcomes.map((each) => 'revision' in each && each.revision), [1, 1])
  assert.is((await listLog(platform)).length, 1)
})

test('writes to different resources that race are all made', async () => {
  const { platform, host, other } = createSystem()
  const writes = ['akl', 'wlg', 'chc'].flatMap((region) => [host.changeLog.submit(makeWrite(`a-${region}`, `${region}1`), never), other.changeLog.submit(makeWrite(`b-${region}`, `${region}2`), never)])
  const outcomes = await Promise.all(writes)
  assert.ok(outcomes.every((each) => each.outcome === 'accepted'))
  assert.is(new Set(await listLog(platform)).size, 6)
})

// The platform becomes unavailable in the middle of a write. The writer must be told that the outcome is
// unknown; a repeat with the same id, through any host, must not make the change twice.
test('an outage makes a write unknown, and a repeat by id makes it once', async () => {
  const { clock, platform, host, other } = createSystem()
  platform.faults.lostAnswers = 100
  const submitted = host.changeLog.submit(makeWrite('w1', 'akl'), never)
  await clock.advance(500)
  platform.faults.outage = true
  const outcome = await runFor(clock, 10_000, submitted)
  assert.equal(outcome, { outcome: 'unknown', writeId: 'w1' })
  assert.equal(await runFor(clock, 2_000, other.changeLog.findWrite('w1', never)), { outcome: 'unknown' })
  platform.faults.outage = false
  platform.faults.lostAnswers = 0
  assert.equal(await other.changeLog.findWrite('w1', never), { outcome: 'accepted', revision: 1 })
  assert.equal(await host.changeLog.submit(makeWrite('w1', 'akl'), never), { outcome: 'accepted', writeId: 'w1', revision: 1 })
  assert.equal(await listLog(platform), ['w1'])
})

// A write whose message may still be in transit is queried: `absent` would wrongly mean that the write can no longer
// take effect. It stays unknown at its host until the one revision that it can become is taken.
test('a write that may still arrive stays unknown until its revision is taken', async () => {
  const { clock, platform, host, other } = createSystem()
  platform.faults.lostWrites = 100
  const outcome = await runFor(clock, 10_000, host.changeLog.submit(makeWrite('w1', 'akl'), never))
  assert.is(outcome.outcome, 'unknown')
  assert.equal(await host.changeLog.findWrite('w1', never), { outcome: 'unknown' })
  platform.faults.lostWrites = 0
  await other.changeLog.submit(makeWrite('w2', 'wlg'), never)
  assert.equal(await host.changeLog.findWrite('w1', never), { outcome: 'absent', revision: 1 })
})

// A host that lags gets a write based on a revision that it hasn't received, with a region that it doesn't know.
// A refusal would report the host's lag as the operator's error.
test('a host that lags catches up before it refuses', async () => {
  const { host, other } = createSystem()
  await host.changeLog.submit(makeWrite('w1', 'akl'), never)
  await host.changeLog.submit(makeWrite('w2', 'wlg'), never)
  const link = { kind: 'Link' as const, name: 'akl-wlg', revision: 0, spec: { from: 'akl', to: 'wlg', latencyMs: 20, maxInFlight: 5 } }
  const outcome = await other.changeLog.submit({ writeId: 'w3', author: 'test', action: 'put', resource: link, expectedRevision: 0 }, never)
  assert.is(outcome.outcome, 'accepted')
  const stale = await host.changeLog.submit(makeWrite('w4', 'akl', 99, 0), never)
  assert.equal(stale, { outcome: 'conflict', writeId: 'w4', revision: 1 })
  const removal: WriteOutcome = await host.changeLog.submit({ writeId: 'w5', author: 'test', action: 'delete', kind: 'Region', name: 'akl' }, never)
  assert.is(removal.outcome, 'in-use')
  assert.match('problems' in removal ? removal.problems[0]?.path ?? '' : '', 'Link/akl-wlg: spec.from')
})

test('a reference to an object that does not exist is rejected with path, found and remedy', async () => {
  const { host, platform } = createSystem()
  const spec = { service: 'balances', from: 'akl', weights: { wlg: 1 }, spill: true }
  const outcome = await host.changeLog.submit({ writeId: 'w1', author: 'test', action: 'put', resource: { kind: 'SteeringPolicy', name: 'p', revision: 0, spec } }, never)
  assert.is(outcome.outcome, 'rejected')
  assert.equal('problems' in outcome && outcome.problems.map(({ path, found }) => ({ path, found })), [
    { path: 'spec.service', found: 'balances' }, { path: 'spec.from', found: 'akl' }, { path: 'spec.weights.wlg', found: 'wlg' }
  ])
  assert.equal(await listLog(platform), [])
})

test.run()
