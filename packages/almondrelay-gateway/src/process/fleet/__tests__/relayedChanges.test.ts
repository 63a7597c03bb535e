import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PageAge } from '../../store/pageAge.js'
import { makePosition } from '../../store/__fixtures__/makePosition.js'
import type { RelayedEvent } from '../relayedEvent.js'
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
  await followed.waitFor(() => followed.fleet.storePosition.revision === followed.store.latestRevision, 'the end of the pending watch')
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
  follower.receivePeerPosition(makePosition(store.latestRevision), fleet.notablePosition, 0)
  await waitForLooks()
  assert.is(store.watches, watches, 'the store is queried for a heartbeat')
  store.remove('target/1')
  follower.receivePeerPosition(makePosition(store.latestRevision), makePosition(store.latestRevision), 0)
  await waitForLooks()
  assert.is(store.watches, watches, 'the store is queried for a change that may still be relayed')
  followed.now += LONG_PAST_MS
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'end of target 1')
  assert.is(store.watches, watches + 1)
  assert.is(fleet.notablePosition.revision, store.latestRevision)
  const before = store.watches
  follower.receivePeerPosition(makePosition(store.latestRevision), makePosition(store.latestRevision + 1_000), 0)
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
  const known = fleet.storePosition.revision
  follower.applyRelayedChanges({ after: makePosition(known), upTo: makePosition(known + 5), events: [{ kind: 'deleted', key: 'target/1', revision: known + 2 }], forwardTo: [] })
  assert.is(fleet.findTarget('1'), undefined)
  assert.is(fleet.storePosition.revision, known + 5)
  follower.receivePeerPosition(makePosition(known + 9), makePosition(known + 2), followed.now)
  followed.now += LONG_PAST_MS
  await waitForLooks()
  assert.is(store.watches, watches, 'the store is queried for a relayed change')
})

// The datagram of the first of two changes is lost. If the second change were applied alone, the gap would stay hidden: a target
// that has left would continue to get requests, although the state seems complete.
test('a change after a lost one is not applied, and the store is queried for both', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const known = fleet.storePosition.revision
  store.remove('target/1')
  store.remove('target/2')
  follower.applyRelayedChanges({ after: makePosition(known + 1), upTo: makePosition(known + 2), events: [{ kind: 'deleted', key: 'target/2', revision: known + 2 }], forwardTo: [] })
  assert.ok(fleet.findTarget('2') !== undefined)
  assert.is(fleet.storePosition.revision, known)
  follower.receivePeerPosition(makePosition(known + 2), makePosition(known + 2), followed.now)
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
  const storeRevision = fleet.storePosition.revision
  follower.applyRelayedChanges({ after: makePosition(0), upTo: makePosition(storeRevision), events: [{ kind: 'written', item: { key: `target/${entry?.id ?? ''}`, value, revision: storeRevision - 1, createdRevision: 1 } }], forwardTo: [] })
  assert.is(fleet.listTargetIds().length, 1)
})

test('a watcher relays notable changes and no others', async () => {
  const { fleet, store, relayed } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  followed.isReliedOn = true
  const { notablePosition } = fleet
  store.remove('target/1')
  await followed.waitFor(() => relayed.length === 1, 'the relayed change')
  assert.equal(relayed[0]?.after, notablePosition)
  assert.equal(relayed[0]?.upTo, makePosition(store.latestRevision))
  assert.equal(relayed[0]?.events, [{ kind: 'deleted', key: 'target/1', revision: store.latestRevision }])
  followed.writeTarget('2', { sequence: 7 })
  const { latestRevision } = store
  await followed.waitFor(() => fleet.storePosition.revision >= latestRevision, 'the heartbeat')
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

// Guards against hosts that go on using a target whose entry another writer has spoilt: a change without a readable revision can't be relayed.
test('a change without a readable revision makes the other hosts query the store', async () => {
  const { fleet, store, relayed } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  followed.isReliedOn = true
  store.writeUnreadable('target/1')
  const { position } = store
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'the end of target 1')
  assert.equal(fleet.notablePosition, position)
  assert.equal(relayed, [])
})

// Guards against sixty hosts that each read a configuration of hundreds of kilobytes from the store because one route of it has changed.
test('a new version of a large configuration is relayed as its difference, and applied without a call to the store', async () => {
  const watcher = new FollowedFleet()
  const routes = Array.from({ length: 1_400 }, (_, index) => ({ name: `route-${index}`, prefix: `/${index * 7_919}/`, timeout: 2_000 }))
  for (const { store } of [watcher, followed]) store.write('configuration', { version: 6, routes })
  watcher.isReliedOn = true
  watcher.start()
  await watcher.waitFor(() => watcher.fleet.configuration?.version === 6, 'version 6 at the watcher')
  await followed.waitFor(() => followed.fleet.configuration?.version === 6, 'version 6')
  watcher.store.write('configuration', { version: 7, routes: routes.map((route, index) => index === 700 ? { ...route, timeout: 3_000 } : route) })
  await watcher.waitFor(() => watcher.relayed.length === 1, 'the relayed version')
  await watcher.stop()
  const [event] = watcher.relayed[0]?.events ?? []
  if (event?.kind !== 'patched') throw new Error('not a difference')
  assert.ok(event.patch.steps.byteLength < 500, `${event.patch.steps.byteLength} bytes`)

  await startRelying()
  const { fleet, follower, store } = followed
  const { watches } = store
  const { storePosition } = fleet
  const upTo = { ...storePosition, revision: storePosition.revision + 1 }
  const baseRevision = store.listItems().find(({ key }) => key === 'configuration')?.revision ?? 0
  const patched = { ...event, revision: upTo.revision, patch: { ...event.patch, baseRevision } }
  const withOtherBase = { ...patched, patch: { ...patched.patch, baseRevision: baseRevision - 1 } }
  const spoilt = { ...patched, patch: { ...patched.patch, hash: patched.patch.hash + 1 } }
  for (const wrong of [withOtherBase, spoilt]) follower.applyRelayedChanges({ after: storePosition, upTo, events: [wrong], forwardTo: [] })
  assert.is(fleet.configuration?.version, 6)
  assert.equal(fleet.storePosition, storePosition, 'a position is known without its change')
  follower.applyRelayedChanges({ after: storePosition, upTo, events: [patched], forwardTo: [] })
  assert.is(fleet.configuration?.version, 7)
  assert.is(store.watches, watches)
})

// Guards against a host of a large region that waits for seconds before it asks again, although the store answers its other calls or a peer
// knows of a change that it lacks.
for (const [reason, end] of [
  ['the store answers another call', () => { followed.health.observeAnswer(1) }],
  ['a peer reports a change for longer than a relay takes', () => {
    followed.follower.receivePeerPosition(makePosition(900), makePosition(900), 0)
    setTimeout(() => { followed.now += 300 }, 800)
  }]
] as const) {
  test(`the pause after a failed call ends when ${reason}`, async () => {
    const { fleet, health, store } = followed
    await followed.waitFor(() => fleet.isComplete && store.watches > 0, 'a watch')
    followed.isReliedOn = true
    followed.isWatcher = false
    store.isDown = true
    health.observeFailure(0)
    await followed.waitFor(() => store.refusals > 0, 'a failed call')
    store.isDown = false
    store.remove('target/1')
    await new Promise((resolve) => { setTimeout(resolve, 800) })
    assert.ok(fleet.findTarget('1') !== undefined, 'the pause has ended without a reason')
    end()
    await followed.waitFor(() => fleet.findTarget('1') === undefined, 'the end of target 1')
  })
}

// Guards against hosts that query the store once a second while changes go on, as they ignore what is relayed in the pause after a call.
test('changes that are relayed in the pause after a call are applied', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const before = fleet.storePosition
  store.remove('target/1')
  follower.refresh('test')
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'the end of target 1')
  const after = fleet.storePosition
  assert.ok(after.revision > before.revision)
  const upTo = { ...after, revision: after.revision + 1 }
  follower.applyRelayedChanges({ after, upTo, events: [{ kind: 'deleted', key: 'target/2', revision: upTo.revision }], forwardTo: [] })
  assert.is(fleet.findTarget('2'), undefined)
  await new Promise((resolve) => { setTimeout(resolve, 700) })
  assert.equal(fleet.storePosition, upTo)
})

// Guards against a watcher that reads ten versions of a large configuration to learn the last one, and against hosts that rely on it and
// query the store, all at once, for what it has read.
test('a watcher that is far behind reads the last values and relays what is new in them', async () => {
  const { fleet, store, relayed } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  followed.isReliedOn = true
  await followed.waitFor(() => store.watches > 0, 'a watch')
  const { notablePosition } = fleet
  store.isHung = true
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  const filler = 'x'.repeat(200_000)
  for (let version = 6; version <= 15; version += 1) store.write('configuration', { version, filler })
  store.remove('target/1')
  followed.writeTarget('3')
  store.isHung = false
  const { currentPages } = store
  followed.follower.refresh('test')
  await followed.waitFor(() => fleet.configuration?.version === 15, 'version 15')
  assert.equal(fleet.listTargetIds().sort(), ['2', '3'])
  assert.is(store.currentPages - currentPages, 1)
  const [changes] = relayed
  assert.equal(changes?.after, notablePosition)
  assert.equal(changes?.upTo, store.position)
  assert.equal(changes?.events.map(getKey), ['configuration', 'target/3', 'target/1'])
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
  assert.is(fleet.notablePosition.revision, store.latestRevision)
})

// Guards against hosts that ignore changes relayed after the store has returned from a copy, because their revisions are lower than
// those before.
test('changes relayed after the return of the store are applied', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const copy = store.copy()
  for (let sequence = 2; sequence < 100; sequence += 1) followed.writeTarget('1', { sequence })
  follower.receiveWatcherState(store.position, fleet.notablePosition, 0, followed.now)
  assert.equal(fleet.storePosition, store.position)
  store.returnFrom(copy)
  await store.list('', '', PageAge.current)
  await followed.waitFor(() => fleet.storePosition.era === store.position.era, 'the read after the return')
  await new Promise((resolve) => { setTimeout(resolve, 700) })
  const { watches } = store
  const after = fleet.storePosition
  const upTo = { ...after, revision: after.revision + 1 }
  follower.applyRelayedChanges({ after, upTo, events: [{ kind: 'deleted', key: 'target/2', revision: upTo.revision }], forwardTo: [] })
  assert.is(fleet.findTarget('2'), undefined)
  follower.receivePeerPosition(upTo, upTo, followed.now)
  followed.now += LONG_PAST_MS
  await waitForLooks()
  assert.is(store.watches, watches, 'the store is queried for a relayed change')
})

// Guards against a host that reads all keys in a loop, for as long as the store's revisions are below the one up to which watchers had
// confirmed its state.
test('a host that no longer relies on watchers after the return of the store reads all keys once', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const copy = store.copy()
  for (let sequence = 2; sequence < 100; sequence += 1) followed.writeTarget('1', { sequence })
  follower.receiveWatcherState(store.position, fleet.notablePosition, 0, followed.now)
  store.returnFrom(copy)
  const { currentPages } = store
  followed.reliesOnWatchers = false
  await followed.waitFor(() => fleet.storePosition.era === store.position.era, 'the read after the return')
  await new Promise((resolve) => { setTimeout(resolve, 500) })
  assert.ok(store.currentPages - currentPages <= 2, `${store.currentPages - currentPages} pages read`)
})

// Guards against a host whose state counts as current because a peer, which has not heard of the return of the store, says so.
test('reports of an earlier era confirm nothing and bring nothing back', async () => {
  const { fleet, store, follower } = followed
  await startRelying()
  const before = fleet.storePosition
  store.returnFrom(store.copy())
  await store.list('', '', PageAge.current)
  await followed.waitFor(() => fleet.storePosition.era === store.position.era, 'the read after the return')
  await new Promise((resolve) => { setTimeout(resolve, 700) })
  const { confirmedAt, storePosition } = fleet
  followed.now += 100
  const later = { ...before, revision: before.revision + 500 }
  follower.receiveWatcherState(later, before, 0, followed.now)
  follower.applyRelayedChanges({ after: before, upTo: later, events: [{ kind: 'deleted', key: 'target/1', revision: later.revision }], forwardTo: [] })
  assert.is(fleet.confirmedAt, confirmedAt)
  assert.equal(fleet.storePosition, storePosition)
  assert.ok(fleet.findTarget('1') !== undefined)
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

const getKey = (event: RelayedEvent): string => event.kind === 'written' ? event.item.key : event.key

test.run()
