import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makePosition } from '../../store/__fixtures__/makePosition.js'
import { FollowedFleet } from '../__fixtures__/followedFleet.js'

const test = suite('FleetFollower')
let followed = new FollowedFleet()

test.before.each(() => { followed = FollowedFleet.startWithTargets() })
test.after.each(() => followed.stop())

test('the state reflects the contents of the store and changes to them', async () => {
  const { fleet, store } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  assert.is(fleet.configuration?.version, 5)
  assert.is(fleet.listTargets('balances').length, 2)
  store.write('configuration', { version: 9 })
  followed.writeTarget('3')
  store.remove('target/1')
  store.write('evacuation/akl-a', {})
  await followed.waitFor(() => fleet.isEvacuated('akl-a'), 'evacuation')
  assert.is(fleet.configuration?.version, 9)
  assert.equal(fleet.listTargetIds().sort(), ['2', '3'])
  store.remove('evacuation/akl-a')
  await followed.waitFor(() => !fleet.isEvacuated('akl-a'), 'end of the evacuation')
})

// All hosts have restarted, and callers connect before a host has read the store. If refused, each caller would lose its only
// retry, although a host in another region than the store has read its configuration a fifth of a second later.
test('waiting for the first configuration ends with it, or without one after the timeout', async () => {
  const started = new FollowedFleet()
  const waiting = started.fleet.waitForConfiguration(60_000)
  await started.fleet.waitForConfiguration(1)
  assert.is(started.fleet.configuration, undefined)
  started.store.write('configuration', { version: 5 })
  started.writeTarget('1')
  started.start()
  await waiting
  assert.is(started.fleet.configuration?.version, 5)
  assert.is(started.fleet.listTargetIds().length, 1, 'the targets of the same read are in the state')
  await started.stop()
})

// Operators put version 9 in force. A host that then reads an older version from a lagging store would route requests by the
// older version again.
test('a version that is not newer is never put in force', async () => {
  const { fleet, store } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.write('configuration', { version: 9 })
  await followed.waitFor(() => fleet.configuration?.version === 9, 'version 9')
  store.write('configuration', { version: 7 })
  followed.writeTarget('3')
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  assert.is(fleet.configuration?.version, 9)
})

// Watches return no events while a target leaves, then the store drops its history. A host that only continued to watch would
// send requests to the target for ever.
test('after the history was dropped all keys are read again, and what is missing from them is removed', async () => {
  const { fleet, store } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.hidesEvents = true
  store.remove('target/1')
  followed.writeTarget('3')
  store.write('configuration', { version: 6 })
  store.dropHistory()
  store.hidesEvents = false
  await followed.waitFor(() => fleet.configuration?.version === 6, 'version 6')
  assert.equal(fleet.listTargetIds().sort(), ['2', '3'])
})

// The store is unavailable for some seconds, and the targets' entries expire. If this were taken for the exit of all targets, each
// host would refuse all requests until the targets have written their entries again.
test('entries that expired while the store was unavailable count until two seconds after its recovery', async () => {
  const { fleet, store, health } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  health.observeFailure(followed.now)
  store.isDown = true
  await followed.waitFor(() => store.refusals > 0, 'the outage')
  store.remove('target/1')
  store.remove('target/2')
  health.observeFailure(3_900)
  followed.now = 4_000
  store.isDown = false
  health.observeAnswer(followed.now)
  followed.writeTarget('2')
  followed.writeTarget('3')
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  assert.equal(fleet.listTargetIds().sort(), ['1', '2', '3'])
  followed.writeTarget('4')
  await followed.waitFor(() => fleet.findTarget('4') !== undefined, 'target 4')
  followed.now = 6_100
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'end of target 1')
  assert.equal(fleet.listTargetIds().sort(), ['2', '3', '4'])
})

// Only this host loses the store for some seconds, and one target leaves in that time. If this were taken for a lapse of the
// entries, the host would send requests to that target for two seconds longer than allowed.
test('a target that left while only this host had lost the store is removed at once', async () => {
  const { fleet, store, health } = followed
  for (const id of ['3', '4', '5']) followed.writeTarget(id)
  await followed.waitFor(() => fleet.listTargetIds().length === 5, 'five targets')
  health.observeFailure(followed.now)
  store.isDown = true
  await followed.waitFor(() => store.refusals > 0, 'the outage')
  store.remove('target/1')
  followed.now = 4_000
  store.isDown = false
  health.observeAnswer(followed.now)
  followed.writeTarget('6')
  await followed.waitFor(() => fleet.findTarget('6') !== undefined, 'target 6')
  assert.is(fleet.findTarget('1'), undefined)
})

// The connection of a host's watch stalls for good while a target leaves. No call fails, and the host would send requests to the
// target until the watch times out. Its peers have received the change and report its revision.
test('a stalled watch is restarted once peers have reported newer changes for a while', async () => {
  const { fleet, store, follower } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.isHung = true
  followed.writeTarget('7')
  await followed.waitFor(() => fleet.findTarget('7') !== undefined || store.isHung, 'a hung watch')
  await new Promise((resolve) => { setTimeout(resolve, 700) })
  store.remove('target/1')
  store.isHung = false
  follower.receivePeerPosition(makePosition(store.latestRevision), makePosition(0), 10_000)
  assert.ok(fleet.findTarget('1') !== undefined)
  follower.receivePeerPosition(makePosition(store.latestRevision), makePosition(0), 11_000)
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'end of target 1')
})

test('a hanging watch is restarted at the first answer of the store after a failure', async () => {
  const { fleet, store, health } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.isHung = true
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  health.observeFailure(0)
  store.remove('target/2')
  store.isHung = false
  health.observeAnswer(3_000)
  await followed.waitFor(() => fleet.findTarget('2') === undefined, 'end of target 2')
})

test('a reused address belongs only to the newer target', async () => {
  const { fleet, store } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  const entry = fleet.findTarget('1')?.entry
  store.write('target/9', { ...entry, id: '9', service: 'approvals' })
  await followed.waitFor(() => fleet.findTarget('9') !== undefined, 'target 9')
  assert.is(fleet.findTarget('1'), undefined)
})

// A target is killed and restarts at once under the same id, before its entry expires. If it were taken for the previous
// incarnation, it would get the request rate of a warm target although it is cold, and would collapse again.
test('a target that restarts under the same id keeps no state of its previous incarnation', async () => {
  const { fleet } = followed
  followed.writeTarget('3', { incarnation: 1_000, sequence: 40 })
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  const before = fleet.findTarget('3')
  before?.warmKeys.add(7)
  before?.receivePeerCount('a', 9, 0)
  before?.suspend(0)
  followed.writeTarget('3', { incarnation: 2_000, sequence: 1, coldForMs: 3_000 })
  await followed.waitFor(() => fleet.findTarget('3') !== before, 'its second incarnation')
  const after = fleet.findTarget('3')
  assert.ok(before?.isLeaving(), 'the previous incarnation gets no more requests')
  assert.ok(after?.isCold(0))
  assert.not(after?.warmKeys.has(7))
  assert.is(after?.countOutstanding(0), 0)
  assert.not(after?.isSuspended(0))
  assert.not.equal(after?.incarnationHash, before?.incarnationHash)
  assert.is(after?.hash, before?.hash)
  assert.equal([followed.restarted, followed.removed], [['3'], []])
})

// A target announces that it is draining and leaves. A heartbeat that it sent before reaches the store seconds late and becomes
// the entry there. If it were applied, the target would get requests after it had announced that it takes none.
test('an older entry that is written late is ignored', async () => {
  const { fleet } = followed
  followed.writeTarget('3', { incarnation: 2_000, sequence: 5, draining: true })
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  followed.writeTarget('3', { incarnation: 2_000, sequence: 4 })
  followed.writeTarget('3', { incarnation: 1_000, sequence: 90 })
  followed.writeTarget('4')
  await followed.waitFor(() => fleet.findTarget('4') !== undefined, 'target 4')
  assert.ok(fleet.findTarget('3')?.isLeaving())
  followed.store.remove('target/3')
  followed.writeTarget('3', { incarnation: 2_000, sequence: 4 })
  followed.writeTarget('5')
  await followed.waitFor(() => fleet.findTarget('5') !== undefined, 'target 5')
  assert.is(fleet.findTarget('3'), undefined)
  followed.writeTarget('3', { incarnation: 3_000, sequence: 1 })
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'its next incarnation')
})

// In a deployment whose targets state no start time, a target restarts under the same id. Its heartbeats count from one again, like
// those of an older entry that is written late. If it states that it is cold, this must be applied in either case.
test('an entry with fewer heartbeats of a target that states no start time still marks it as cold', async () => {
  const { fleet } = followed
  followed.writeTarget('3', { sequence: 40 })
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  followed.writeTarget('3', { sequence: 1, coldForMs: 3_000 })
  await followed.waitFor(() => fleet.findTarget('3')?.isCold(0) === true, 'target 3 being cold')
})

// Another writer repeatedly overwrites a target's key with unreadable bytes. The target is not used until it has written its entry
// again, all other targets are, and the log is not flooded.
test('a target with an unreadable entry is removed, and other entries of the same answer are applied', async () => {
  const { fleet, store } = followed
  await followed.waitFor(() => fleet.listTargetIds().length === 2, 'both targets')
  for (let time = 0; time < 20; time += 1) store.write('target/1', { time })
  followed.writeTarget('3')
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  assert.equal(fleet.listTargetIds().sort(), ['2', '3'])
  assert.is(followed.lines.filter((line) => line.startsWith('value in the store not usable')).length, 1)
  followed.writeTarget('1', { sequence: 2 })
  await followed.waitFor(() => fleet.findTarget('1') !== undefined, 'target 1 again')
})

// Another writer's entry has the address of a live target and names a service that is not configured.
test('an entry of a service that is not configured does not displace a target at its address', async () => {
  const { fleet } = followed
  await followed.waitFor(() => fleet.listTargetIds().length === 2, 'both targets')
  followed.writeTarget('9', { port: 8_001, service: 'elsewhere' })
  await followed.waitFor(() => fleet.findTarget('9') !== undefined, 'the entry')
  assert.ok(fleet.findTarget('1') !== undefined)
})

// All hosts restart after one of them has written an account page. Each host loaded its operator service in its first second,
// while callers were waiting, although no operator had declared any resource.
test('account pages alone do not load the operator service, but a full read that stops among them does', async () => {
  const followed = new FollowedFleet()
  followed.writeTarget('1')
  followed.store.write('use/account/a', {})
  followed.store.write('use/account/b', {})
  followed.start()
  await followed.waitFor(() => followed.fleet.isComplete, 'the first read')
  assert.is(followed.omittingReads, 0)
  await followed.stop()
  const cut = new FollowedFleet()
  cut.store.pageItems = 2
  cut.writeTarget('1')
  for (const name of ['a', 'b', 'c']) cut.store.write(`use/account/${name}`, {})
  cut.start()
  await cut.waitFor(() => cut.fleet.isComplete, 'the first read')
  assert.is(cut.omittingReads, 1)
  assert.ok(cut.fleet.findTarget('1') !== undefined)
  await cut.stop()
})

// Guards against a value that no host can apply: each host would stop at it, read it again and never apply later changes.
test('a change that can not be applied does not block later ones', async () => {
  const { fleet, store, lines } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  followed.failsOnSuspects = true
  store.write('suspect/f', { fingerprint: 'f', organisation: '', ended: [], cleared: [], trials: 0 })
  followed.writeTarget('3')
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  assert.ok(lines.some((line) => line.includes('change of the store not applied')))
})

// Guards against records that expire while the store is unavailable and drops its history: no host would write them again, and
// hosts that start later would not know the requests.
test('a suspect record that is missing from a full read is reported as removed', async () => {
  const { fleet, store } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.write('suspect/f', { fingerprint: 'f', organisation: '', ended: [], cleared: [], trials: 0 })
  followed.writeTarget('3')
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  store.remove('suspect/f')
  store.dropHistory()
  await followed.waitFor(() => followed.removedSuspects.includes('f'), 'the removal of the record')
})

// Guards against a watcher that is cut off from the store and tells its region that the state is current, because its pending watch was
// restarted.
test('a watch that is restarted before it is answered confirms nothing', async () => {
  const { fleet, store, follower } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.isHung = true
  await new Promise((resolve) => { setTimeout(resolve, 700) })
  const { confirmedAt } = fleet
  followed.now += 2_000
  follower.refresh('test')
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  assert.is(fleet.confirmedAt, confirmedAt)
})

// Guards against a host that never gets a large answer, as peers that have it already, or another call that fails, make it start over.
test('a watch whose answer is arriving is not restarted, except after a suspension', async () => {
  const { fleet, follower, health, store } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.isHung = true
  store.sendsPart = true
  followed.writeTarget('3')
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  const { watches } = store
  follower.receivePeerPosition(makePosition(store.latestRevision), makePosition(store.latestRevision), 0)
  follower.receivePeerPosition(makePosition(store.latestRevision), makePosition(store.latestRevision), 1_000)
  health.observeFailure(0)
  health.observeAnswer(1)
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  assert.is(store.watches, watches)
  store.isHung = false
  follower.refresh('this host was suspended')
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
})

test.run()
