import Logger from 'bunyan'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FakeClock } from '../../platform/__fixtures__/fakeClock.js'
import { FakePlatform } from '../../platform/__fixtures__/fakePlatform.js'
import { createTestHost } from '../__fixtures__/createTestHost.js'
import { makeWrite } from '../__fixtures__/makeWrite.js'
import { MAX_VALUE_BYTES } from '../maxValueBytes.js'
import { loadSnapshot } from '../loadSnapshot.js'
import { repairFromPlatform } from '../repairFromPlatform.js'
import { runSnapshotWriter } from '../runSnapshotWriter.js'
import { saveSnapshot } from '../saveSnapshot.js'
import type { ConfigurationSnapshot } from '../configurationSnapshot.js'

const never = new AbortController().signal
const BLOCKS_A_REGION = 30_000

function createSystem () {
  const clock = new FakeClock()
  const platform = new FakePlatform(clock)
  return { clock, platform, createHost: () => createTestHost(platform, clock) }
}

/** A snapshot of `regions` regions of about 400 KB each. */
function makeLargeSnapshot (revision: number, regions: number): ConfigurationSnapshot {
  const clientBlocks = Array.from({ length: BLOCKS_A_REGION }, (_, index) => `10.${index >> 8}.${index & 255}.0/24`)
  const resources = Array.from({ length: regions }, (_, index) => ({ ...makeWrite('w', `r${index}`).resource, revision: index + 1 }))
  for (const resource of resources) if (resource.kind === 'Region') resource.spec.clientBlocks = clientBlocks
  return { revision, resources, writes: [{ writeId: 'w', revision }] }
}

test('a snapshot of many megabytes is restored completely from chunks below a megabyte', async () => {
  const { platform } = createSystem()
  const snapshot = makeLargeSnapshot(21, 21)
  assert.is(await saveSnapshot(platform, snapshot, never), 21)
  const chunks = await platform.list('snapshots/0', '', 1_000, never)
  assert.ok(chunks.length > 5)
  assert.ok(chunks.every((chunk) => chunk.value.length <= MAX_VALUE_BYTES))
  const loaded = await loadSnapshot(platform, never)
  assert.is(loaded?.revision, 21)
  assert.is(loaded?.resources.length, 21)
  assert.equal(loaded?.writes, snapshot.writes)
})

// A host fails while it writes a snapshot. A new host must not start with half a configuration:
// it loads the complete previous snapshot and the change log after it.
test('a snapshot that was not finished is not read', async () => {
  const { clock, platform, createHost } = createSystem()
  await saveSnapshot(platform, makeLargeSnapshot(5, 3), never)
  const begunAt = platform.calls.get('put') ?? 0
  const dying = new AbortController()
  const saving = saveSnapshot(platform, makeLargeSnapshot(9, 9), dying.signal).catch(() => {})
  platform.faults.slowMs = 10
  while ((platform.calls.get('put') ?? 0) < begunAt + 2) await clock.advance(5)
  dying.abort()
  await clock.advance(100)
  await saving
  platform.faults.slowMs = 0
  const fresh = createHost()
  await repairFromPlatform(platform, fresh.store, never)
  assert.is(fresh.store.current.revision, 5)
  assert.is(fresh.store.current.listAll().length, 3)
})

test('two hosts that write snapshots at once leave a complete one, and the revision of the manifest only increases', async () => {
  const { platform } = createSystem()
  await Promise.all([saveSnapshot(platform, makeLargeSnapshot(6, 3), never), saveSnapshot(platform, makeLargeSnapshot(5, 2), never)])
  const first = await loadSnapshot(platform, never)
  assert.is(first?.resources.length, first?.revision === 6 ? 3 : 2)
  await saveSnapshot(platform, makeLargeSnapshot(7, 4), never)
  assert.is(await saveSnapshot(platform, makeLargeSnapshot(6, 3), never), 7)
  await saveSnapshot(platform, makeLargeSnapshot(8, 4), never)
  await saveSnapshot(platform, makeLargeSnapshot(9, 4), never)
  assert.is((await loadSnapshot(platform, never))?.revision, 9)
  const kept = await platform.list('snapshots/0', '', 1_000, never)
  assert.equal([...new Set(kept.map((chunk) => chunk.key.slice(0, -5)))].filter((key) => key.endsWith('7')), [], 'the one before the last two is deleted')
})

test('one host writes a snapshot when 256 changes are made, and a fresh host reads it and the rest', async () => {
  const { clock, platform, createHost } = createSystem()
  const writer = createHost()
  const owner = new AbortController()
  const log = new Logger({ name: 'test', streams: [] })
  const task = runSnapshotWriter({ platform, store: writer.store, changeLog: writer.changeLog, log }, owner.signal)
  for (let index = 1; index <= 260; index++) await writer.changeLog.submit(makeWrite(`w${index}`, `r${index % 50}`), never)
  await clock.flush()
  owner.abort()
  await task
  platform.calls.clear()
  const fresh = createHost()
  await repairFromPlatform(platform, fresh.store, never)
  assert.equal(fresh.revisions, [256, 257, 258, 259, 260])
  assert.equal(fresh.store.current.listAll().length, 50)
  assert.ok(platform.countCalls() <= 4)
  assert.is((await fresh.changeLog.findWrite('w3', never)).outcome, 'accepted')
  assert.is(fresh.store.adoptSnapshot({ revision: 260, resources: [], writes: [] }), false)
})

test.run()
