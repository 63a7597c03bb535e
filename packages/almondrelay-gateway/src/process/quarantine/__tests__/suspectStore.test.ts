import bunyan from 'bunyan'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FakeRevisionStore } from '../../fleet/__fixtures__/fakeRevisionStore.js'
import { PlainFleetCodec } from '../../fleet/__fixtures__/plainFleetCodec.js'
import { EventLog } from '../../observe/eventLog.js'
import { Suspect } from '../suspect.js'
import { SuspectStore } from '../suspectStore.js'

const test = suite('SuspectStore')
const KEY = 'suspect/f'
let store = new FakeRevisionStore()

/** One host's state of one suspect, and its access to the store. */
const makeHost = (ended: number[]): { suspect: Suspect, suspects: SuspectStore } => {
  const suspect = new Suspect('f', 'school')
  suspect.merge({ ended, cleared: [] }, 0)
  const log = new EventLog(bunyan.createLogger({ name: 'test', streams: [] }), () => 0)
  const suspects = new SuspectStore({
    store,
    codec: new PlainFleetCodec(),
    log,
    getNow: () => 0,
    random: () => 0,
    sleep: () => new Promise((resolve) => { setImmediate(resolve) }),
    adoptRecord: (record, position) => { suspect.adoptRecord(record, position, 0) }
  }, new AbortController().signal)
  return { suspect, suspects }
}
const waitForCalls = async (): Promise<void> => { for (let turn = 0; turn < 50; turn += 1) await new Promise((resolve) => { setImmediate(resolve) }) }
const readRecord = async (): Promise<{ ended: number[], trials: number }> => JSON.parse(String((await store.get(KEY))?.value)) as { ended: number[], trials: number }

test.before.each(() => { store = new FakeRevisionStore() })

test('hosts that save different exits at once leave a record with all of them', async () => {
  for (const { suspect, suspects } of [makeHost([1, 2]), makeHost([2, 3])]) suspects.save(suspect)
  await waitForCalls()
  assert.equal((await readRecord()).ended.sort(), [1, 2, 3])
})

// Guards against a trial that two hosts are granted, or another record that is overwritten: after the return from a copy the store gave the
// revision of the known record to something else.
test('a record of an earlier era is not replaced by its revision', async () => {
  const copy = store.copy()
  const { suspect, suspects } = makeHost([1, 2, 3])
  suspects.save(suspect)
  await waitForCalls()
  store.returnFrom(copy)
  const other = makeHost([4, 5, 6])
  other.suspects.save(other.suspect)
  await waitForCalls()
  assert.is((await store.get(KEY))?.revision, suspect.recordPosition?.revision)
  assert.not(await suspects.claimTrial(suspect))
  suspects.save(suspect)
  await waitForCalls()
  assert.equal((await readRecord()).ended.sort(), [1, 2, 3, 4, 5, 6])
  assert.is((await readRecord()).trials, 0)
})

// Guards against a record that stays missing because the store was unavailable when three targets had exited.
test('a record that could not be written is written when the store answers again', async () => {
  const { suspect, suspects } = makeHost([1, 2, 3])
  store.isDown = true
  suspects.save(suspect)
  await waitForCalls()
  store.isDown = false
  await waitForCalls()
  assert.equal((await readRecord()).ended, [1, 2, 3])
})

test('a record whose confirmation was lost is stored and known', async () => {
  const { suspect, suspects } = makeHost([1, 2, 3])
  store.losesAnswers = true
  suspects.save(suspect)
  await waitForCalls()
  store.losesAnswers = false
  await waitForCalls()
  assert.is(suspect.recordPosition?.revision, (await store.get(KEY))?.revision)
})

// Guards against a trial on each host: with 75 hosts, a quarantined request would make 75 more targets exit.
test('of all hosts that claim a trial one is granted it', async () => {
  const hosts = [makeHost([1, 2, 3]), makeHost([1, 2, 3]), makeHost([1, 2, 3])]
  for (const { suspect, suspects } of hosts) {
    suspects.save(suspect)
    await waitForCalls()
  }
  const granted = await Promise.all(hosts.map(({ suspect, suspects }) => suspects.claimTrial(suspect)))
  assert.is(granted.filter(Boolean).length, 1)
  assert.is((await readRecord()).trials, 1)
  assert.equal(hosts.map(({ suspect }) => suspect.trials), [1, 1, 1])
})

test('without the store, or without a record, there is no trial', async () => {
  const { suspect, suspects } = makeHost([1, 2, 3])
  assert.not(await suspects.claimTrial(suspect))
  suspects.save(suspect)
  await waitForCalls()
  store.isDown = true
  assert.not(await suspects.claimTrial(suspect))
})

test('a lapsed record is written again when the request arrives', async () => {
  const { suspect, suspects } = makeHost([1, 2, 3])
  suspects.save(suspect)
  await waitForCalls()
  store.remove(KEY)
  suspect.recordPosition = undefined
  suspects.keep(suspect)
  await waitForCalls()
  assert.equal((await readRecord()).ended, [1, 2, 3])
})

test.run()
