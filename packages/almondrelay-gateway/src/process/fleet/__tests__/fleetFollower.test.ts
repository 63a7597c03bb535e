import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FollowedFleet } from '../__fixtures__/followedFleet.js'

const test = suite('FleetFollower')
let followed = new FollowedFleet()

test.before.each(() => { followed = FollowedFleet.startWithTargets() })
test.after.each(() => followed.stop())

test('what stands in the store and what changes in it is known', async () => {
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

// All hosts have been restarted, and callers connect before a host has read anything. Refused, each of them loses its one
// repeat; a host in another region than the store has read its configuration a fifth of a second later.
test('what waits for the first configuration goes on with it, and without one when its time has passed', async () => {
  const started = new FollowedFleet()
  const waiting = started.fleet.waitForConfiguration(60_000)
  await started.fleet.waitForConfiguration(1)
  assert.is(started.fleet.configuration, undefined)
  started.store.write('configuration', { version: 5 })
  started.writeTarget('1')
  started.start()
  await waiting
  assert.is(started.fleet.configuration?.version, 5)
  assert.is(started.fleet.listTargetIds().length, 1, 'the targets of the same read are known')
  await started.stop()
})

// Operators put version 9 in force; a host that then reads an older one from a store that lags would send
// callers to where they were before.
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

// Watches hear nothing while a target leaves, then the store drops its history. A host that only watched on
// would send to the target for ever.
test('after the history is gone everything is read anew, and what vanished meanwhile is gone', async () => {
  const { fleet, store } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.isDeaf = true
  store.remove('target/1')
  followed.writeTarget('3')
  store.write('configuration', { version: 6 })
  store.dropHistory()
  store.isDeaf = false
  await followed.waitFor(() => fleet.configuration?.version === 6, 'version 6')
  assert.equal(fleet.listTargetIds().sort(), ['2', '3'])
})

// The store is away for some seconds and the targets' entries lapse in it. Taken for the end of every
// target, each host would refuse every request until they have written themselves anew.
test('entries that lapsed while the store was away count until two seconds after its return', async () => {
  const { fleet, store, health } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  health.observeFailure(followed.now)
  store.isDown = true
  await followed.waitFor(() => store.refusals > 0, 'the outage')
  store.remove('target/1')
  store.remove('target/2')
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

// One host alone is cut off for some seconds; the store and the other targets live on, one target leaves for
// good. Taken for a lapse, the host sends to the one that left for two seconds more than it may.
test('a target that left while this host alone was cut off is gone at once', async () => {
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

// The connection of a host's watch goes silent for good while a target leaves. Nothing fails; the host would send
// to the target until the long wait ends. Its peers have seen the change and say so in their reports.
test('a watch that has gone silent is begun anew once peers know newer changes for a while', async () => {
  const { fleet, store, follower } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.isHung = true
  followed.writeTarget('7')
  await followed.waitFor(() => fleet.findTarget('7') !== undefined || store.isHung, 'a hung watch')
  await new Promise((resolve) => { setTimeout(resolve, 700) })
  store.remove('target/1')
  store.isHung = false
  follower.hearRevision(store.latestRevision, 0, 10_000)
  assert.ok(fleet.findTarget('1') !== undefined)
  follower.hearRevision(store.latestRevision, 0, 11_000)
  await followed.waitFor(() => fleet.findTarget('1') === undefined, 'end of target 1')
})

test('with the first answer after a failure a hanging watch is begun anew', async () => {
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

test('an address that is used again belongs to the newer target alone', async () => {
  const { fleet, store } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  const entry = fleet.findTarget('1')?.entry
  store.write('target/9', { ...entry, id: '9', service: 'approvals' })
  await followed.waitFor(() => fleet.findTarget('9') !== undefined, 'target 9')
  assert.is(fleet.findTarget('1'), undefined)
})

// A target is killed and started again at once under its id, its entry never lapses. Taken for the one before, it would
// get the rate of a target that holds its keys: it is cold, and falls over again.
test('a target that was started again under its id holds nothing of before', async () => {
  const { fleet } = followed
  followed.writeTarget('3', { incarnation: 1_000, sequence: 40 })
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  const before = fleet.findTarget('3')
  before?.warmKeys.add(7)
  before?.hearPeerCount('a', 9, 0)
  before?.suspend(0)
  followed.writeTarget('3', { incarnation: 2_000, sequence: 1, coldForMs: 3_000 })
  await followed.waitFor(() => fleet.findTarget('3') !== before, 'its second life')
  const after = fleet.findTarget('3')
  assert.ok(before?.isLeaving(), 'nothing more goes to the life before')
  assert.ok(after?.isCold(0))
  assert.not(after?.warmKeys.has(7))
  assert.is(after?.countOutstanding(0), 0)
  assert.not(after?.isSuspended(0))
  assert.not.equal(after?.incarnationHash, before?.incarnationHash)
  assert.is(after?.hash, before?.hash)
  assert.equal([followed.restarted, followed.removed], [['3'], []])
})

// A target announces its end and leaves; a heartbeat that it wrote before comes to the store seconds late and stands there
// as its newest entry. Believed, the target would get work after it had said that it takes none.
test('an older entry that is written late changes nothing', async () => {
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
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'its next life')
})

// In a deployment whose targets state no start one is started again under its id. Its heartbeats count from one, like those
// of an old entry that is written late; its word that it is cold must be heard in any case.
test('fewer heartbeats of a target that states no start are believed in that it is cold', async () => {
  const { fleet } = followed
  followed.writeTarget('3', { sequence: 40 })
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  followed.writeTarget('3', { sequence: 1, coldForMs: 3_000 })
  await followed.waitFor(() => fleet.findTarget('3')?.isCold(0) === true, 'its being cold')
})

// Another writer puts bytes of its own under a target's key, again and again. The target isn't used until it has written
// itself anew; all others are, and the log isn't filled.
test('an entry that can not be read names no target, and the others of its answer hold', async () => {
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

// Another writer's entry has the address of a live target and a service that nobody has heard of.
test('an entry of a service that is not configured takes nobody\'s address', async () => {
  const { fleet } = followed
  await followed.waitFor(() => fleet.listTargetIds().length === 2, 'both targets')
  followed.writeTarget('9', { port: 8_001, service: 'elsewhere' })
  await followed.waitFor(() => fleet.findTarget('9') !== undefined, 'the entry')
  assert.ok(fleet.findTarget('1') !== undefined)
})

// All hosts restart after one of them has written a page of the account. Each loaded what serves operators in its first
// second, in which callers wait for it, though no operator had declared anything.
test('pages of the account alone do not bring the operators\' parts in, a read that was cut off among them does', async () => {
  const followed = new FollowedFleet()
  followed.writeTarget('1')
  followed.store.write('use/account/a', {})
  followed.store.write('use/account/b', {})
  followed.start()
  await followed.waitFor(() => followed.fleet.isComplete, 'the first read')
  assert.is(followed.unreadKeys, 0)
  await followed.stop()
  const cut = new FollowedFleet()
  cut.store.pageItems = 2
  cut.writeTarget('1')
  for (const name of ['a', 'b', 'c']) cut.store.write(`use/account/${name}`, {})
  cut.start()
  await cut.waitFor(() => cut.fleet.isComplete, 'the first read')
  assert.is(cut.unreadKeys, 1)
  assert.ok(cut.fleet.findTarget('1') !== undefined)
  await cut.stop()
})

// Guards against one value that no host can deal with: each would stop at it, read it again and never see what came after it.
test('a change that can not be applied does not hold up those after it', async () => {
  const { fleet, store, lines } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  followed.failsOnSuspects = true
  store.write('suspect/f', { fingerprint: 'f', organisation: '', ended: [], cleared: [], trials: 0 })
  followed.writeTarget('3')
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  assert.ok(lines.some((line) => line.includes('change of the store not applied')))
})

// Guards against records that lapse while the store is away and forgets its history: nobody would write them again, and hosts that start
// later would not know of the requests.
test('a record of a suspect that is missing in a full read has gone', async () => {
  const { fleet, store } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.write('suspect/f', { fingerprint: 'f', organisation: '', ended: [], cleared: [], trials: 0 })
  followed.writeTarget('3')
  await followed.waitFor(() => fleet.findTarget('3') !== undefined, 'target 3')
  store.remove('suspect/f')
  store.dropHistory()
  await followed.waitFor(() => followed.lapsedSuspects.includes('f'), 'the record that has gone')
})

test.run()
