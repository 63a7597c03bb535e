import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FollowedFleet } from '../__fixtures__/followedFleet.js'

const test = suite('relayed changes and first reads')
/** Milliseconds after which every wait for a change that was announced has passed. */
const LONG_PAST_MS = 1_000
let followed = new FollowedFleet()

/** Waits until this host has its knowledge from others alone: the watch that was out ends with a change. */
const startRelying = async (): Promise<void> => {
  followed.reliesOnWatchers = true
  followed.store.write('evacuation/ended', {})
  followed.store.remove('evacuation/ended')
  await followed.waitFor(() => followed.fleet.storeRevision === followed.store.latestRevision, 'the end of the watch that was out')
  await new Promise((resolve) => { setTimeout(resolve, 700) })
}

/** Some looks of the follower for something to do. */
const waitForLooks = (): Promise<void> => new Promise((resolve) => { setTimeout(resolve, 300) })

test.before.each(() => { followed = FollowedFleet.startWithTargets() })
test.after.each(() => followed.stop())

// Seventy hosts watch the store, and each heartbeat of a cold target answers them all. Of a region's hosts two watch and hand
// changes on; the others ask for one that decides something only where it was lost, or when nobody can be relied on.
test('a host that relies on others\' watches asks only for what decides something', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const { watches } = store
  followed.writeTarget('1', { sequence: 2 })
  follower.hearRevision(store.latestRevision, fleet.notableRevision, 0)
  await waitForLooks()
  assert.is(store.watches, watches, 'a heartbeat is asked for')
  store.remove('target/1')
  follower.hearRevision(store.latestRevision, store.latestRevision, 0)
  await waitForLooks()
  assert.is(store.watches, watches, 'a change that may still be handed on is asked for')
  followed.now += LONG_PAST_MS
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'end of target 1')
  assert.is(store.watches, watches + 1)
  assert.is(fleet.notableRevision, store.latestRevision)
  const before = store.watches
  follower.hearRevision(store.latestRevision, store.latestRevision + 1_000, 0)
  followed.now += LONG_PAST_MS
  await new Promise((resolve) => { setTimeout(resolve, 700) })
  assert.ok(store.watches - before <= 2, `${store.watches - before} calls for a revision that never comes`)
  followed.reliesOnWatchers = false
  store.remove('target/2')
  await followed.waitFor(() => fleet.findTarget('2') === undefined, 'end of target 2, though nobody told of it')
})

// A target leaves in a fleet of 195 hosts. Each host asked the store for it, which made one change 195 calls; 5,200 of the
// 6,900 calls of a quiet day were such. Watchers hand the change itself on instead, and nobody asks.
test('changes that a watcher hands on are known without a call', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const { watches } = store
  const known = fleet.storeRevision
  follower.acceptRelayed({ afterRevision: known, upToRevision: known + 5, events: [{ kind: 'deleted', key: 'target/1', revision: known + 2 }], forwardTo: [] })
  assert.is(fleet.findTarget('1'), undefined)
  assert.is(fleet.storeRevision, known + 5)
  follower.hearRevision(known + 9, known + 2, followed.now)
  followed.now += LONG_PAST_MS
  await waitForLooks()
  assert.is(store.watches, watches, 'what was handed on is asked for')
})

// Of two changes the first one's datagram is lost. Applied alone, the second would hide the gap for good: a target that has
// left would go on getting requests, though everybody believes that all is known.
test('a change after one that was lost is not taken; the store is asked for both', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const known = fleet.storeRevision
  store.remove('target/1')
  store.remove('target/2')
  follower.acceptRelayed({ afterRevision: known + 1, upToRevision: known + 2, events: [{ kind: 'deleted', key: 'target/2', revision: known + 2 }], forwardTo: [] })
  assert.ok(fleet.findTarget('2') !== undefined)
  assert.is(fleet.storeRevision, known)
  follower.hearRevision(known + 2, known + 2, followed.now)
  await waitForLooks()
  followed.now += LONG_PAST_MS
  await followed.waitFor(() => fleet.listTargetIds().length === 0, 'both changes')
})

// A target left at revision 12. Late, a watcher's word of revision 10, at which it stood, arrives: taken in, it would bring
// the target back for good, and every request for its keys would fail.
test('changes that are older than what is known change nothing', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const [entry] = fleet.listTargets('balances').map((target) => target.entry)
  store.remove(`target/${entry?.id ?? ''}`)
  followed.reliesOnWatchers = false
  await followed.waitFor(() => fleet.listTargetIds().length === 1, 'the end of the target')
  followed.reliesOnWatchers = true
  await waitForLooks()
  const value = Buffer.from(JSON.stringify(entry))
  const { storeRevision } = fleet
  follower.acceptRelayed({ afterRevision: 0, upToRevision: storeRevision, events: [{ kind: 'written', item: { key: `target/${entry?.id ?? ''}`, value, revision: storeRevision - 1, createdRevision: 1 } }], forwardTo: [] })
  assert.is(fleet.listTargetIds().length, 1)
})

test('a host that watches for its region hands on what decides something, and nothing else', async () => {
  const { fleet, store, relayed } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  followed.isReliedOn = true
  const { notableRevision } = fleet
  store.remove('target/1')
  await followed.waitFor(() => relayed.length === 1, 'the change handed on')
  assert.is(relayed[0]?.afterRevision, notableRevision)
  assert.is(relayed[0]?.upToRevision, store.latestRevision)
  assert.equal(relayed[0]?.events, [{ kind: 'deleted', key: 'target/1', revision: store.latestRevision }])
  followed.writeTarget('2', { sequence: 7 })
  const { latestRevision } = store
  await followed.waitFor(() => fleet.storeRevision >= latestRevision, 'the heartbeat')
  assert.is(relayed.length, 1)
})

// A watcher hears from a target's own answer that it left before the store says so. Judged by what the watcher knew by then,
// the store's word changed nothing and was not handed on: the rest of the region went on sending to the target.
test('a watcher hands on what it had found out by itself', async () => {
  const { fleet, store, relayed } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  followed.isReliedOn = true
  const target = fleet.findTarget('1')
  if (target === undefined) throw new Error('no target')
  fleet.removeMisdirected(target, 0)
  store.remove('target/1')
  await followed.waitFor(() => relayed.length === 1, 'the end of target 1 handed on')
  fleet.findTarget('2')?.markCold(3_000, 0)
  followed.writeTarget('2', { sequence: 2, coldForMs: 3_000 })
  await followed.waitFor(() => relayed.length === 2, 'that target 2 is cold handed on')
})

// The store forgets its history, and a target left in the gap: no change tells of it. The watcher sees it by reading
// everything; the others must hear that there is something to ask for.
test('after a history that is gone the others are told to ask', async () => {
  const { fleet, store } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.isHung = true
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  store.remove('target/1')
  store.dropHistory()
  store.isHung = false
  followed.follower.refresh('test')
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'the end of target 1')
  assert.is(fleet.notableRevision, store.latestRevision)
})

// All hosts restart, and each reads hundreds of keys at once. Pages that may be some seconds old cost a tenth; a target that
// left since must not come back by them, nor one that came since be missing.
test('a first read of old pages is completed by the changes since', async () => {
  const started = await FollowedFleet.prepareOldPages()
  started.writeTarget('2')
  const { currentPages } = started.store
  started.start()
  await started.waitFor(() => started.fleet.isComplete, 'first read')
  assert.equal(started.fleet.listTargetIds(), ['2'])
  assert.is(started.store.currentPages, currentPages, 'pages are read twice')
  await started.stop()
})

test('a first read of old pages whose changes since are forgotten is made anew', async () => {
  const started = await FollowedFleet.prepareOldPages()
  started.store.dropHistory()
  started.start()
  await started.waitFor(() => started.fleet.isComplete, 'first read')
  assert.equal(started.fleet.listTargetIds(), [])
  await started.stop()
})

test.run()
