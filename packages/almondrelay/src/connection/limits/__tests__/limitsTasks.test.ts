import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LimitsZone } from '../__fixtures__/limitsZone.js'

const MAX_DEADLINE_MS = 5_000
const ALL_SLOTS = 24
const SETTLING_MS = 2_000
/** Lease term of 3 s and the longest deadline, with clock drift and slack, and one second for messages and rounds. */
const RECOVERY_MS = (3_000 + MAX_DEADLINE_MS) * 1.0201 + 250 + 1_000

async function startZone (...names: string[]): Promise<LimitsZone> {
  const zone = new LimitsZone(MAX_DEADLINE_MS)
  names.forEach((name) => zone.addHost(name))
  await zone.clock.advance(SETTLING_MS)
  return zone
}

function stopZone (zone: LimitsZone): void {
  [...zone.hosts.keys()].forEach((name) => zone.kill(name))
}

test('hosts that start together join by compare-and-swap and share every slot once', async () => {
  const zone = await startZone('a', 'b', 'c')
  assert.equal(await zone.readRoster(), ['a;1', 'b;1', 'c;1'])
  assert.is(zone.countAllFreeSlots(), ALL_SLOTS)
  const writes = zone.platform.calls.get('put')
  await zone.clock.advance(60_000)
  assert.is(zone.platform.calls.get('put'), writes, 'no write without a join or a loss')
  stopZone(zone)
})

test('the slots of a host that died are usable again after the longest deadline', async () => {
  // A host's process ends. Its peer finds that the address refuses connections and takes over the targets, but
  // requests of the ended host may run until their deadline. If its slots were used at once, targets would run too many requests.
  const zone = await startZone('a', 'b')
  zone.kill('b')
  zone.hosts.get('a')!.slots.markGone('b', 1, zone.clock.getNow())
  assert.ok(zone.countAllFreeSlots() < ALL_SLOTS)
  await zone.clock.advance(RECOVERY_MS)
  assert.is(zone.countAllFreeSlots(), ALL_SLOTS)
  assert.equal(await zone.readRoster(), ['a;1'])
  stopZone(zone)
})

test('the slots of a host that died are usable again with the platform down, and the roster is written later', async () => {
  const zone = await startZone('a', 'b')
  zone.platform.faults.outage = true
  zone.kill('b')
  zone.hosts.get('a')!.slots.markGone('b', 1, zone.clock.getNow())
  await zone.clock.advance(RECOVERY_MS)
  assert.is(zone.countAllFreeSlots(), ALL_SLOTS)
  zone.platform.faults.outage = false
  await zone.clock.advance(15_000)
  assert.equal(await zone.readRoster(), ['a;1'])
  stopZone(zone)
})

test('hosts cut off from each other keep their floors, the standby fills in, and all comes back', async () => {
  // Two live hosts of a zone can't reach each other. Neither may use slots that the other may still use:
  // the owner keeps its floor, and its standby uses the other slots once the last lease and its requests have ended.
  const zone = await startZone('a', 'b')
  zone.disconnected.add('b')
  await zone.clock.advance(3_500)
  assert.is(zone.countAllFreeSlots(), ALL_SLOTS / 2, 'floors only')
  await zone.clock.advance(RECOVERY_MS)
  assert.is(zone.countAllFreeSlots(), ALL_SLOTS)
  zone.disconnected.clear()
  await zone.clock.advance(SETTLING_MS)
  assert.is(zone.countAllFreeSlots(), ALL_SLOTS)
  stopZone(zone)
})

test('a restarted host takes the place of its former incarnation', async () => {
  const zone = await startZone('a', 'b')
  zone.kill('b')
  zone.addHost('b', 2)
  await zone.clock.advance(RECOVERY_MS + SETTLING_MS)
  assert.equal(await zone.readRoster(), ['a;1', 'b;2'])
  assert.is(zone.countAllFreeSlots(), ALL_SLOTS)
  stopZone(zone)
})

test('a write whose answer was lost is found by reading, and a leaving host takes itself out', async () => {
  const zone = new LimitsZone(MAX_DEADLINE_MS)
  zone.platform.faults.lostAnswers = 1
  zone.addHost('a')
  await zone.clock.advance(5_000)
  assert.equal(await zone.readRoster(), ['a;1'])
  assert.is(zone.countFreeSlots('a'), ALL_SLOTS)
  const removal = zone.hosts.get('a')!.rosterTask.removeSelf(new AbortController().signal)
  await zone.clock.advance(1_000)
  await removal
  assert.equal(await zone.readRoster(), [])
  assert.is(zone.countFreeSlots('a'), 0)
  stopZone(zone)
})

test.run()
