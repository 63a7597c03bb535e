import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FakeClock } from '../../platform/__fixtures__/fakeClock.js'
import { FakePlatform } from '../../platform/__fixtures__/fakePlatform.js'
import { createTestHost } from '../__fixtures__/createTestHost.js'
import { makeWrite } from '../__fixtures__/makeWrite.js'
import type { WriteOutcome } from '../writeOutcome.js'

const never = new AbortController().signal

function createFollowers (count: number) {
  const clock = new FakeClock()
  const platform = new FakePlatform(clock)
  const owner = new AbortController()
  const hosts = Array.from({ length: count }, (_, index) => createTestHost(platform, clock, index + 1))
  const tasks = hosts.map(async (host) => { await host.follow(owner.signal) })
  const stop = async () => {
    owner.abort()
    await Promise.all(tasks)
  }
  return { clock, platform, hosts, stop }
}

async function listLog (platform: FakePlatform): Promise<Array<{ writeId: string, revision: number }>> {
  const entries = await platform.list('changes/', '', 10_000, never)
  return entries.map((entry) => JSON.parse(entry.value) as { writeId: string, revision: number })
}

test('a follower has each change right after it is made, in order', async () => {
  const { clock, platform, hosts: [writer, follower], stop } = createFollowers(2)
  await clock.advance(100)
  for (let index = 1; index <= 40; index++) await writer?.changeLog.submit(makeWrite(`w${index}`, `r${index}`), never)
  await clock.flush()
  assert.equal(follower?.revisions, Array.from({ length: 40 }, (_, index) => index + 1))
  assert.is((await listLog(platform)).length, 40)
  await stop()
})

// The platform is down for six hours. Hosts must continue with the revision in force, send few enough calls not to
// overload the platform when it recovers, and catch up soon after that.
test('a long outage leaves the revision in force, costs few calls, and is caught up with', async () => {
  const { clock, platform, hosts, stop } = createFollowers(4)
  const [writer] = hosts
  await writer?.changeLog.submit(makeWrite('w1', 'akl'), never)
  await clock.advance(1_000)
  platform.faults.outage = true
  platform.calls.clear()
  await clock.advance(6 * 3_600_000)
  const callsASecond = platform.countCalls() / (6 * 3_600)
  assert.ok(callsASecond < 4 * 0.3, `${callsASecond} calls a second of four watchers`)
  assert.ok(hosts.every((host) => host.store.current.revision === 1))
  platform.faults.outage = false
  await clock.advance(6_000)
  await writer?.changeLog.submit(makeWrite('w2', 'wlg'), never)
  await clock.advance(1_000)
  assert.ok(hosts.every((host) => host.store.current.revision === 2))
  await stop()
})

// A watch stays open but no longer reports changes that are made. The follower would stay on an old revision
// permanently, so it lists the log after each watch without events.
test('a watch that stopped reporting is detected within its timeout', async () => {
  const { clock, platform, hosts: [writer, follower], stop } = createFollowers(2)
  await clock.advance(100)
  platform.faults.watchesStopped = true
  await writer?.changeLog.submit(makeWrite('w1', 'akl'), never)
  await clock.advance(5_100)
  assert.is(follower?.store.current.revision, 1)
  await stop()
})

test('a change that can not be read stops the follower before it, and not the process', async () => {
  const { clock, platform, hosts: [writer, follower], stop } = createFollowers(2)
  await writer?.changeLog.submit(makeWrite('w1', 'akl'), never)
  await platform.put('changes/000000000002', '{"revision":2,"garbage":true}', 0, never)
  await clock.advance(30_000)
  assert.is(follower?.store.current.revision, 1)
  await stop()
})

// Writers on several hosts race, while answers and writes are lost, late or delayed by outages. Every reported outcome
// must be true: accepted writes are in the log once, at the reported revision; conflicting, rejected and missing
// ones never are; all hosts end on one revision, and no host's revision decreases.
test('reported outcomes of writes are true under any order of races and losses (seed 14)', async () => {
  const fault = fc.constantFrom('none', 'none', 'lostAnswer', 'lostWrite', 'lateWrite', 'outage', 'stopWatches')
  const step = fc.record({
    host: fc.nat({ max: 2 }),
    region: fc.constantFrom('akl', 'wlg', 'chc'),
    action: fc.constantFrom('put', 'put', 'guarded', 'delete'),
    fault,
    waitMs: fc.constantFrom(0, 0, 1, 300, 1_500, 9_000)
  })
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 3, maxLength: 14 }), async (steps) => {
    const { clock, platform, hosts, stop } = createFollowers(3)
    const told: Array<Promise<WriteOutcome>> = []
    for (const [index, { host, region, action, fault: kind, waitMs }] of steps.entries()) {
      if (kind === 'lostAnswer') platform.faults.lostAnswers += 1
      if (kind === 'lostWrite') platform.faults.lostWrites += 1
      if (kind === 'lateWrite') platform.faults.lateWriteMs = 3_000
      if (kind === 'outage') platform.faults.outage = !platform.faults.outage
      if (kind === 'stopWatches') platform.faults.watchesStopped = !platform.faults.watchesStopped
      const seen = hosts[host]?.store.current.get('Region', region)?.revision ?? 0
      const put = makeWrite(`w${index}`, region, index + 1, action === 'guarded' ? seen : undefined)
      const write = action === 'delete' ? { writeId: put.writeId, author: 'test', action, kind: 'Region' as const, name: region } : put
      const outcome = hosts[host]?.changeLog.submit(write, never)
      if (outcome !== undefined) told.push(outcome)
      await clock.advance(waitMs)
    }
    await clock.advance(60_000)
    platform.faults.outage = false
    platform.faults.watchesStopped = false
    await clock.advance(60_000)
    const log = await listLog(platform)
    assert.equal(log.map((change) => change.revision), log.map((_, index) => index + 1))
    assert.is(new Set(log.map((change) => change.writeId)).size, log.length)
    for (const outcome of await Promise.all(told)) {
      const made = log.find((change) => change.writeId === outcome.writeId)
      if (outcome.outcome === 'accepted') assert.is(made?.revision, outcome.revision)
      else if (outcome.outcome !== 'unknown') assert.is(made, undefined, `${outcome.outcome} but made`)
    }
    for (const host of hosts) {
      assert.is(host.store.current.revision, log.length)
      assert.equal(host.revisions, [...host.revisions].sort((a, b) => a - b))
    }
    await stop()
  }), { seed: 14, numRuns: 120 })
})

test.run()
