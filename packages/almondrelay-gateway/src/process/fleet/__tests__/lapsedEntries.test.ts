import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FollowedFleet } from '../__fixtures__/followedFleet.js'

const test = suite('FleetUpdater, removals and lapsed entries')
let followed = new FollowedFleet()

test.before.each(() => { followed = FollowedFleet.startWithTargets() })
test.after.each(() => followed.stop())

// Guards against requests to targets that have left, because another target restarted or wrote its entry anew while the store was sound.
for (const { name, restarted, incarnation } of [
  { name: 'restart of a target of its service', restarted: { service: 'balances' }, incarnation: 2 },
  { name: 'restart of a target of another service', restarted: { service: 'approvals' }, incarnation: 2 },
  { name: 'entry that expired by itself and was written anew', restarted: { service: 'approvals' }, incarnation: 1 }
]) {
  for (const isFullRead of [false, true]) {
    test(`a removal is in force at once beside the ${name}${isFullRead ? ', in a full read' : ''}`, async () => {
      const { fleet, store, health } = followed
      followed.writeTarget('3', { ...restarted, incarnation: 1 })
      await followed.waitFor(() => fleet.listTargetIds().length === 3, 'three targets')
      health.observeAnswer(1_000)
      store.hidesEvents = true
      store.remove('target/1')
      store.remove('target/3')
      followed.writeTarget('3', { ...restarted, incarnation, sequence: 2 })
      followed.writeTarget('4')
      followed.now = 2_000
      health.observeAnswer(2_000)
      if (isFullRead) store.dropHistory()
      store.hidesEvents = false
      await followed.waitFor(() => fleet.findTarget('4') !== undefined, 'target 4')
      assert.equal(fleet.listTargetIds().sort(), ['2', '3', '4'])
    })
  }
}

// Guards against requests to targets that have left while this host was cut off from the store: it also missed that another target was
// started again, or that the entry of a target of a zone in trouble expired and was written anew.
for (const { name, incarnation, contacts, removedBy } of [
  { name: 'restarted target', incarnation: 2, contacts: [], removedBy: 4_000 },
  { name: 'rewritten entry, other hosts reached the store', incarnation: 1, contacts: [1_500, 3_000], removedBy: 4_000 },
  { name: 'rewritten entry, no word of other hosts', incarnation: 1, contacts: [], removedBy: 3_400 + 2_500 }
]) {
  test(`a target that left while this host had lost the store is removed in time: ${name}`, async () => {
    const { fleet, store, health } = followed
    followed.writeTarget('3', { incarnation: 1 })
    await followed.waitFor(() => fleet.listTargetIds().length === 3, 'three targets')
    health.observeAnswer(0)
    store.isDown = true
    await followed.waitFor(() => store.refusals > 0, 'the cut')
    for (const at of [1_000, 2_000, 3_400]) health.observeFailure(at)
    for (const at of contacts) health.observeContact(at)
    store.remove('target/1')
    store.remove('target/3')
    followed.writeTarget('3', { incarnation, sequence: 2 })
    followed.writeTarget('4')
    followed.now = 4_000
    store.isDown = false
    health.observeAnswer(4_000)
    await followed.waitFor(() => fleet.findTarget('4') !== undefined, 'target 4')
    assert.is(fleet.findTarget('1') === undefined, removedBy === 4_000)
    followed.now = removedBy - 200
    await followed.waitFor(() => fleet.findTarget('1') === undefined, 'end of target 1')
  })
}

// Guards against a removal that waits for a lapse although the store has been back for longer than entries take to be written again.
test('a removal is in force at once when the store has been back for two seconds', async () => {
  const { fleet, store, health } = followed
  followed.writeTarget('3', { incarnation: 1 })
  await followed.waitFor(() => fleet.listTargetIds().length === 3, 'three targets')
  health.observeAnswer(0)
  for (const at of [1_000, 5_900]) health.observeFailure(at)
  health.observeAnswer(6_000)
  store.hidesEvents = true
  store.remove('target/1')
  store.remove('target/3')
  followed.writeTarget('3', { incarnation: 1, sequence: 2 })
  followed.writeTarget('4')
  followed.now = 8_000
  health.observeAnswer(8_000)
  store.hidesEvents = false
  await followed.waitFor(() => fleet.findTarget('4') !== undefined, 'target 4')
  assert.is(fleet.findTarget('1'), undefined)
})

// Guards against a host that notices seconds after a cut that it reaches the store again, because its watch was pending on a connection
// from before the cut.
test('a pending watch is restarted when another call to the store fails', async () => {
  const { fleet, store, health } = followed
  await followed.waitFor(() => fleet.isComplete, 'first read')
  store.isHung = true
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  const { watches } = store
  health.observeFailure(1_000)
  await followed.waitFor(() => store.watches > watches, 'the next watch')
  store.isHung = false
})

test.run()
