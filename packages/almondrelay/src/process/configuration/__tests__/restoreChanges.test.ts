import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSeededRandom } from '../../../request/createSeededRandom.js'
import { FakeClock } from '../../platform/__fixtures__/fakeClock.js'
import { FakePlatform } from '../../platform/__fixtures__/fakePlatform.js'
import { createTestHost } from '../__fixtures__/createTestHost.js'
import { makeWrite } from '../__fixtures__/makeWrite.js'
import { repairFromPlatform } from '../repairFromPlatform.js'
import { restoreChanges } from '../restoreChanges.js'

const never = new AbortController().signal
const MAX_IN_FLIGHT = 10

const createSystem = (hostCount = 2) => {
  const clock = new FakeClock()
  const platform = new FakePlatform(clock)
  const hosts = Array.from({ length: hostCount }, () => createTestHost(platform, clock))
  const [host, other] = hosts as [typeof hosts[0], typeof hosts[0]]
  return { clock, platform, hosts, host, other }
}
const listLog = async (platform: FakePlatform): Promise<string[]> => {
  const entries = await platform.list('changes/', '', 1_000, never)
  return entries.map(({ key, value }) => `${Number(key.slice('changes/'.length))} ${(JSON.parse(value) as { writeId: string }).writeId}`)
}
const submit = async (host: ReturnType<typeof createTestHost>, writeId: string, region: string, maxInFlight = MAX_IN_FLIGHT) => await host.changeLog.submit(makeWrite(writeId, region, maxInFlight), never)

// Guards against a declaration that operators were told is in force, and that a host which starts later doesn't know, because the
// platform returned from a copy without it.
test('lost changes are written again once, under their revisions', async () => {
  const { platform, clock, host, other } = createSystem()
  await submit(host, 'w1', 'akl')
  const copy = platform.copy()
  await submit(host, 'w2', 'wlg')
  await submit(host, 'w3', 'chc')
  await repairFromPlatform(platform, other.store, never)
  platform.returnFrom(copy)
  const results = await Promise.all([host, other].map(({ store }) => restoreChanges({ platform, store, clock }, never)))
  assert.equal(results.flatMap(({ written }) => written).sort(), [2, 3])
  assert.equal(await listLog(platform), ['1 w1', '2 w2', '3 w3'])
  assert.equal([host, other].map(({ store }) => store.current.revision), [3, 3])
})

// Guards against a gap in the log: a write after the return got the revision after those that are lost, and no host that starts reads past
// the gap.
test('a write that was made after the return before the lost changes were written is not hidden', async () => {
  const { platform, clock, host, other } = createSystem()
  const copy = platform.copy()
  await submit(host, 'w1', 'akl')
  platform.returnFrom(copy)
  await submit(host, 'w2', 'wlg')
  assert.equal(await listLog(platform), ['2 w2'])
  await restoreChanges({ platform, store: host.store, clock }, never)
  await repairFromPlatform(platform, other.store, never)
  assert.is(other.store.current.revision, 2)
})

// Guards against two configurations under one revision: a host that started after the return took a write under a revision that other hosts
// have in force with another content.
test('a lost change whose revision was given out again is made again after that one', async () => {
  const { platform, clock, host, other } = createSystem()
  const copy = platform.copy()
  await submit(host, 'w1', 'akl')
  platform.returnFrom(copy)
  await submit(other, 'w2', 'wlg')
  const result = await restoreChanges({ platform, store: host.store, clock }, never)
  assert.equal(result, { written: [], renumbered: ['w1'], dropped: [] })
  await repairFromPlatform(platform, other.store, never)
  assert.equal(await listLog(platform), ['1 w2', '2 w1'])
  for (const { store } of [host, other]) {
    assert.is(store.current.revision, 2)
    assert.equal(store.current.listAll().map(({ name }) => name).sort(), ['akl', 'wlg'])
    assert.is(store.findWrite('w1'), 2)
  }
})

// Guards against a lost change that undoes a newer one to the same resource. Its writer finds by the write id that it isn't in force.
test('a lost change gives way to a newer one of the same resource', async () => {
  const { platform, clock, host, other } = createSystem()
  const copy = platform.copy()
  await submit(host, 'w1', 'akl', 10)
  platform.returnFrom(copy)
  await submit(other, 'w2', 'akl', 20)
  const { dropped } = await restoreChanges({ platform, store: host.store, clock }, never)
  assert.equal(dropped.map(({ writeId }) => writeId), ['w1'])
  assert.equal(await listLog(platform), ['1 w2'])
  assert.equal(await host.changeLog.findWrite('w1', never), { outcome: 'absent', revision: 1 })
})

// Guards against hosts that differ for good after any order of writes, losses and restarts.
test('hosts agree after any order of writes, returns and restarts, and no change is made twice', async () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const random = createSeededRandom(seed)
    const system = createSystem(4)
    const { platform, clock } = system
    const hosts = [...system.hosts]
    let copy = platform.copy()
    for (let step = 0; step < 30; step += 1) {
      const index = Math.floor(random() * hosts.length)
      const host = hosts[index] as typeof hosts[0]
      const kind = random()
      if (kind < 0.6) await submit(host, `s${step}`, ['akl', 'wlg', 'chc'][Math.floor(random() * 3)] as string, step + 1)
      else if (kind < 0.75) copy = platform.copy()
      else if (kind < 0.85) platform.returnFrom(copy)
      else if (kind < 0.92) hosts[index] = createTestHost(platform, clock)
      else await restoreChanges({ platform, store: host.store, clock }, never)
    }
    for (let round = 0; round < 2; round += 1) {
      for (const { store } of hosts) await restoreChanges({ platform, store, clock }, never)
      for (const { store } of hosts) await repairFromPlatform(platform, store, never)
    }
    const states = hosts.map(({ store }) => JSON.stringify([store.current.revision, store.current.listAll()]))
    assert.is(new Set(states).size, 1, `seed ${seed}: ${states.join('\n')}`)
    const log = await listLog(platform)
    assert.is(new Set(log.map((line) => line.split(' ')[1])).size, log.length, `seed ${seed}: ${log.join(', ')}`)
    assert.equal(log.map((line) => Number(line.split(' ')[0])), log.map((_, index) => index + 1), `seed ${seed}`)
  }
})

test.run()
