import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PageAge } from '../../store/pageAge.js'
import { FollowedFleet } from '../__fixtures__/followedFleet.js'

const test = suite('state of the fleet after the store has returned from a copy')
/** Milliseconds after which everything that is deferred is due. */
const LONG_PAST_MS = 20_000
let followed = new FollowedFleet()
let started: FollowedFleet | undefined

const peer = { name: 'peer', incarnation: 'i1', availabilityZone: 'akl-a', region: 'akl', ip: '10.0.0.2', callerPort: 1, peerPort: 2 }
const waitForChecks = (): Promise<void> => new Promise((resolve) => { setTimeout(resolve, 500) })

/** Makes the store return from a copy, and waits until the follower has read all keys again. */
const returnFrom = async (copy: ReturnType<typeof followed.store.copy>): Promise<void> => {
  followed.store.returnFrom(copy)
  await followed.store.list('', '', PageAge.current)
  await followed.waitFor(() => followed.fleet.storePosition.era === followed.store.position.era, 'the read after the return')
}

/** Writes a target, a host and an evacuation, which the follower learns of, and makes the store return from a copy without them. */
const writeAndLose = async (): Promise<void> => {
  const { fleet, store } = followed
  const copy = store.copy()
  followed.writeTarget('3')
  store.write('host/peer', peer)
  store.write('evacuation/akl-a', {})
  await followed.waitFor(() => fleet.isEvacuated('akl-a'), 'the evacuation')
  await returnFrom(copy)
}

test.before.each(async () => {
  followed = FollowedFleet.startWithTargets()
  await followed.waitFor(() => followed.fleet.isComplete, 'first read')
})
test.after.each(async () => {
  await followed.stop()
  await started?.stop()
  started = undefined
})

// Guards against hosts that forget targets, hosts and evacuations whose writers have not yet written them again.
test('what was written after the copy is kept until its writers had time to write it again', async () => {
  const { fleet, store } = followed
  await writeAndLose()
  await waitForChecks()
  assert.ok(fleet.findTarget('3') !== undefined)
  assert.ok(fleet.findHost('peer') !== undefined)
  assert.ok(fleet.isEvacuated('akl-a'))
  store.write('evacuation/akl-a', {})
  store.write('host/peer', peer)
  followed.writeTarget('3', { sequence: 9 })
  await followed.waitFor(() => fleet.storePosition.revision === store.latestRevision, 'what was written again')
  followed.now += LONG_PAST_MS
  await waitForChecks()
  assert.ok(fleet.findTarget('3') !== undefined)
  assert.ok(fleet.findHost('peer') !== undefined)
  assert.ok(fleet.isEvacuated('akl-a'))
})

// Guards against targets, hosts and evacuations that stay for ever because nothing in the store says that they are gone.
test('what was written after the copy and is not written again is removed in the end', async () => {
  const { fleet } = followed
  await writeAndLose()
  followed.now += LONG_PAST_MS
  await waitForChecks()
  assert.is(fleet.findTarget('3'), undefined)
  assert.is(fleet.findHost('peer'), undefined)
  assert.not(fleet.isEvacuated('akl-a'))
})

// Guards against requests to a target that has left: the store had removed its entry, and holds it again after the return.
test('a target that had left is not used again because of an entry from the copy', async () => {
  const { fleet, store } = followed
  const copy = store.copy()
  store.remove('target/1')
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'the end of target 1')
  await returnFrom(copy)
  await waitForChecks()
  assert.is(fleet.findTarget('1'), undefined)
  store.remove('target/1')
  followed.now += LONG_PAST_MS
  await waitForChecks()
  assert.is(fleet.findTarget('1'), undefined)
})

// Guards against a target that is used for ever although it has left: its entry was restored, was removed again, and the host learnt of that
// by a full read, which does not tell of what is not there.
test('a restored entry that a full read no longer contains is not taken up', async () => {
  const { fleet, store } = followed
  const copy = store.copy()
  store.remove('target/1')
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'the end of target 1')
  await returnFrom(copy)
  store.isHung = true
  await waitForChecks()
  store.remove('target/1')
  store.dropHistory()
  store.isHung = false
  followed.follower.refresh('test')
  await waitForChecks()
  followed.now += LONG_PAST_MS
  await waitForChecks()
  assert.is(fleet.findTarget('1'), undefined)
})

// Guards against a target that is never used again although it runs: its entry had expired, and the one from the copy is right.
test('a target whose entry from the copy stays in the store is used again', async () => {
  const { fleet, store } = followed
  followed.writeTarget('1', { sequence: 4 })
  await followed.waitFor(() => fleet.findTarget('1')?.entry.sequence === 4, 'the entry')
  const copy = store.copy()
  followed.writeTarget('1', { sequence: 5 })
  store.remove('target/1')
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'the end of target 1')
  await returnFrom(copy)
  followed.now += LONG_PAST_MS
  await followed.waitFor(() => fleet.findTarget('1') !== undefined, 'target 1')
})

// Guards against a departure, or a configuration in force, that an older value from the copy takes back.
test('older values from the copy replace nothing', async () => {
  const { fleet, store } = followed
  const copy = store.copy()
  followed.writeTarget('1', { sequence: 5, draining: true })
  store.write('configuration', { version: 9 })
  await followed.waitFor(() => fleet.configuration?.version === 9, 'version 9')
  await returnFrom(copy)
  followed.now += LONG_PAST_MS
  await waitForChecks()
  assert.ok(fleet.findTarget('1')?.isLeaving())
  assert.is(fleet.configuration?.version, 9)
})

// Guards against a departure that is taken for a lapse, because entries that were written again have new revisions of creation.
test('a target that leaves after the return is removed at once', async () => {
  const { fleet, store } = followed
  const copy = store.copy()
  followed.writeTarget('3')
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  await returnFrom(copy)
  followed.writeTarget('4')
  followed.writeTarget('3', { sequence: 9 })
  store.remove('target/1')
  await followed.waitFor(() => fleet.findTarget('4') !== undefined, 'target 4')
  assert.is(fleet.findTarget('1'), undefined)
})

// Guards against a stale page from before the return: the store has given out its revision again, and the changes after that revision
// lack those before it.
test('no stale page is used after the return', async () => {
  const { fleet, store } = followed
  const copy = store.copy()
  for (let sequence = 2; sequence < 10; sequence += 1) followed.writeTarget('1', { sequence })
  const old = await store.list('', '', PageAge.current)
  store.returnFrom(copy)
  store.remove('target/2')
  for (let sequence = 10; sequence < 30; sequence += 1) followed.writeTarget('1', { sequence })
  store.stalePage = { ...old, position: { ...old.position, era: store.position.era } }
  await store.list('', '', PageAge.current)
  await followed.waitFor(() => fleet.storePosition.era === store.position.era, 'the read after the return')
  assert.is(fleet.findTarget('1')?.entry.sequence, 29)
  followed.now += 3_000
  await followed.waitFor(() => fleet.findTarget('2') === undefined, 'the end of target 2')
})

/** Prepares a store that has returned from a copy, and whose stale pages are from before. */
const startWithStalePages = async (hasHosts: boolean): Promise<FollowedFleet> => {
  const fresh = new FollowedFleet()
  started = fresh
  const { store } = fresh
  fresh.writeTarget('1')
  fresh.writeTarget('2')
  if (hasHosts) store.write('host/peer', { ...peer, storeEra: 1 })
  const copy = store.copy()
  for (let sequence = 2; sequence < 10; sequence += 1) fresh.writeTarget('1', { sequence })
  const old = await store.list('', '', PageAge.current)
  store.returnFrom(copy)
  store.remove('target/2')
  if (hasHosts) store.write('host/peer', { ...peer, storeEra: 2 })
  for (let sequence = 10; sequence < 30; sequence += 1) fresh.writeTarget('1', { sequence })
  store.stalePage = { ...old, position: { ...old.position, era: 2 } }
  fresh.start()
  return fresh
}

// Guards against a host that starts right after the return, and takes pages from before for those of the present era.
test('a host that starts after the return finds by the hosts\' entries that stale pages are from before', async () => {
  const fresh = await startWithStalePages(true)
  await fresh.waitFor(() => fresh.fleet.isComplete && fresh.fleet.findTarget('2') === undefined, 'the read of current pages')
  assert.is(fresh.fleet.findTarget('1')?.entry.sequence, 29)
  assert.is(fresh.store.currentPages, 2, 'one read for the stale page of this test and one by the host')
})

// Guards against the same where no host has an entry, as after a restart of all.
test('stale pages without entries of hosts are read again later', async () => {
  const fresh = await startWithStalePages(false)
  await fresh.waitFor(() => fresh.fleet.isComplete, 'the first read')
  fresh.store.stalePage = undefined
  fresh.now += LONG_PAST_MS
  await fresh.waitFor(() => fresh.fleet.findTarget('2') === undefined, 'the second read')
  const { currentPages } = fresh.store
  await waitForChecks()
  assert.is(fresh.store.currentPages, currentPages, 'read again and again')
})

test.run()
