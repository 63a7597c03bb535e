import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FollowedFleet } from '../__fixtures__/followedFleet.js'

const test = suite('relayed changes and first reads')
/** Milliseconds after which every reported change is overdue. */
const LONG_PAST_MS = 1_000
let followed = new FollowedFleet()

/** Waits until this host gets changes from watchers only: a change ends the pending watch. */
const startRelying = async (): Promise<void> => {
  followed.reliesOnWatchers = true
  followed.store.write('evacuation/ended', {})
  followed.store.remove('evacuation/ended')
  await followed.waitFor(() => followed.fleet.storeRevision === followed.store.latestRevision, 'the end of the pending watch')
  await new Promise((resolve) => { setTimeout(resolve, 700) })
}

/** Waits for some periodic checks of the follower. */
const waitForLooks = (): Promise<void> => new Promise((resolve) => { setTimeout(resolve, 300) })

test.before.each(() => { followed = FollowedFleet.startWithTargets() })
test.after.each(() => followed.stop())

// If seventy hosts watched the store, each heartbeat of a cold target would end all of their watches. Two hosts of a region watch
// and relay changes; the others query the store only for a notable change that was lost, or if no watcher is reliable.
test('a host that relies on watchers queries the store only for notable changes', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const { watches } = store
  followed.writeTarget('1', { sequence: 2 })
  follower.receivePeerRevision(store.latestRevision, fleet.notableRevision, 0)
  await waitForLooks()
  assert.is(store.watches, watches, 'the store is queried for a heartbeat')
  store.remove('target/1')
  follower.receivePeerRevision(store.latestRevision, store.latestRevision, 0)
  await waitForLooks()
  assert.is(store.watches, watches, 'the store is queried for a change that may still be relayed')
  followed.now += LONG_PAST_MS
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'end of target 1')
  assert.is(store.watches, watches + 1)
  assert.is(fleet.notableRevision, store.latestRevision)
  const before = store.watches
  follower.receivePeerRevision(store.latestRevision, store.latestRevision + 1_000, 0)
  followed.now += LONG_PAST_MS
  await new Promise((resolve) => { setTimeout(resolve, 700) })
  assert.ok(store.watches - before <= 2, `${store.watches - before} calls for a revision that never comes`)
  followed.reliesOnWatchers = false
  store.remove('target/2')
  await followed.waitFor(() => fleet.findTarget('2') === undefined, 'end of target 2, though no peer reported it')
})

// A target leaves in a fleet of 195 hosts. Each host queried the store for the change, which took 195 calls; 5,200 of the
// 6,900 calls of a quiet day were of this kind. Watchers relay the change itself instead, and no other host queries the store.
test('relayed changes are applied without a call to the store', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const { watches } = store
  const known = fleet.storeRevision
  follower.applyRelayedChanges({ afterRevision: known, upToRevision: known + 5, events: [{ kind: 'deleted', key: 'target/1', revision: known + 2 }], forwardTo: [] })
  assert.is(fleet.findTarget('1'), undefined)
  assert.is(fleet.storeRevision, known + 5)
  follower.receivePeerRevision(known + 9, known + 2, followed.now)
  followed.now += LONG_PAST_MS
  await waitForLooks()
  assert.is(store.watches, watches, 'the store is queried for a relayed change')
})

// The datagram of the first of two changes is lost. If the second change were applied alone, the gap would stay hidden: a target
// that has left would continue to get requests, although the state seems complete.
test('a change after a lost one is not applied, and the store is queried for both', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const known = fleet.storeRevision
  store.remove('target/1')
  store.remove('target/2')
  follower.applyRelayedChanges({ afterRevision: known + 1, upToRevision: known + 2, events: [{ kind: 'deleted', key: 'target/2', revision: known + 2 }], forwardTo: [] })
  assert.ok(fleet.findTarget('2') !== undefined)
  assert.is(fleet.storeRevision, known)
  follower.receivePeerRevision(known + 2, known + 2, followed.now)
  await waitForLooks()
  followed.now += LONG_PAST_MS
  await followed.waitFor(() => fleet.listTargetIds().length === 0, 'both changes')
})

// A target left at revision 12. A delayed datagram of a watcher then brings its entry of revision 10: if this were applied, the
// target would come back for good, and every request for its keys would fail.
test('relayed changes that are older than the state are ignored', async () => {
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
  follower.applyRelayedChanges({ afterRevision: 0, upToRevision: storeRevision, events: [{ kind: 'written', item: { key: `target/${entry?.id ?? ''}`, value, revision: storeRevision - 1, createdRevision: 1 } }], forwardTo: [] })
  assert.is(fleet.listTargetIds().length, 1)
})

test('a watcher relays notable changes and no others', async () => {
  const { fleet, store, relayed } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  followed.isReliedOn = true
  const { notableRevision } = fleet
  store.remove('target/1')
  await followed.waitFor(() => relayed.length === 1, 'the relayed change')
  assert.is(relayed[0]?.afterRevision, notableRevision)
  assert.is(relayed[0]?.upToRevision, store.latestRevision)
  assert.equal(relayed[0]?.events, [{ kind: 'deleted', key: 'target/1', revision: store.latestRevision }])
  followed.writeTarget('2', { sequence: 7 })
  const { latestRevision } = store
  await followed.waitFor(() => fleet.storeRevision >= latestRevision, 'the heartbeat')
  assert.is(relayed.length, 1)
})

// A watcher learns from a target's answer that the target left, before the store reports it. Compared with the watcher's own
// observations the store's change was not notable and was not relayed: the rest of the region continued to use the target.
test('a watcher relays changes that it had already observed by itself', async () => {
  const { fleet, store, relayed } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  followed.isReliedOn = true
  const target = fleet.findTarget('1')
  if (target === undefined) throw new Error('no target')
  fleet.removeMisdirected(target, 0)
  store.remove('target/1')
  await followed.waitFor(() => relayed.length === 1, 'the relayed end of target 1')
  fleet.findTarget('2')?.markCold(3_000, 0)
  followed.writeTarget('2', { sequence: 2, coldForMs: 3_000 })
  await followed.waitFor(() => relayed.length === 2, 'the relayed entry of target 2, which is cold')
})

// The store drops its history, and with it the change by which a target left. The watcher notices by a full read; the revision
// that it reports must make the other hosts query the store.
test('after a full read because of a dropped history the notable revision makes other hosts query the store', async () => {
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

// All hosts restart, and each reads hundreds of keys at once. Stale pages cost a tenth of current ones; a target that has left since
// must not come back through them, and one that was added since must not be missing.
test('a first read of stale pages is completed by the changes since', async () => {
  const started = await FollowedFleet.prepareOldPages()
  started.writeTarget('2')
  const { currentPages } = started.store
  started.start()
  await started.waitFor(() => started.fleet.isComplete, 'first read')
  assert.equal(started.fleet.listTargetIds(), ['2'])
  assert.is(started.store.currentPages, currentPages, 'the pages are read again')
  await started.stop()
})

test('a first read of stale pages is repeated with current ones if the store no longer holds the changes since', async () => {
  const started = await FollowedFleet.prepareOldPages()
  started.store.dropHistory()
  started.start()
  await started.waitFor(() => started.fleet.isComplete, 'first read')
  assert.equal(started.fleet.listTargetIds(), [])
  await started.stop()
})

test.run()
