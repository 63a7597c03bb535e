import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { TargetEntry } from '../../../request/targetEntry.js'
import { FollowedFleet } from '../__fixtures__/followedFleet.js'

const test = suite('FleetUpdater, incarnations of a target')
let followed = new FollowedFleet()
let markers = 10

test.before.each(() => { followed = FollowedFleet.startWithTargets() })
test.after.each(() => followed.stop())

/** Writes an entry of target 3 at a time and waits until it has been applied or ignored. */
const write = async (now: number, entry: Partial<TargetEntry>): Promise<void> => {
  followed.now = now
  followed.writeTarget('3', entry)
  markers += 1
  const marker = String(markers)
  followed.writeTarget(marker)
  await followed.waitFor(() => followed.fleet.findTarget(marker) !== undefined, 'the entry')
}
const find = (): TargetEntry | undefined => followed.fleet.findTarget('3')?.entry

// Guards against requests to a target that has announced that it leaves: it was started while its clock was ahead, restarted after the
// clock was right again, and its entries counted as those of an earlier incarnation from then on.
test('a target that leaves gets no more requests although its incarnation looks older', async () => {
  await write(0, { incarnation: 9_000, sequence: 1 })
  await write(1_800, { incarnation: 8_400, sequence: 1, draining: true })
  assert.ok(followed.fleet.findTarget('3')?.isLeaving())
})

test('a target is cold at once although its incarnation looks older', async () => {
  await write(0, { incarnation: 9_000, sequence: 9 })
  await write(1_800, { incarnation: 8_400, sequence: 1, coldForMs: 3_000 })
  assert.ok(followed.fleet.findTarget('3')?.isCold(1_800))
})

for (const { name, incarnation } of [{ name: 'an earlier start', incarnation: 8_400 }, { name: 'the same start', incarnation: 9_000 }]) {
  test(`a restarted target that states ${name} is known by its heartbeats`, async () => {
    await write(0, { incarnation: 9_000, sequence: 5 })
    for (const [now, sequence] of [[1_800, 1], [3_300, 2], [4_800, 3]] as const) await write(now, { incarnation, sequence, slots: 9 })
    assert.equal([find()?.incarnation, find()?.slots], [incarnation, 9])
    await write(5_000, { incarnation: 9_000, sequence: 6, slots: 4 })
    assert.is(find()?.incarnation, 9_000, 'the incarnation that states the later start writes again')
  })
}

// Guards against entries of an earlier incarnation that reach the store late, several of them, while the known one is running.
test('late writes of an earlier incarnation are ignored while the known one goes on writing', async () => {
  await write(0, { incarnation: 9_000, sequence: 5, draining: true })
  for (let round = 0; round < 5; round += 1) {
    await write(round * 1_500 + 200, { incarnation: 8_000, sequence: 90 + 2 * round })
    await write(round * 1_500 + 900, { incarnation: 8_000, sequence: 91 + 2 * round })
    await write(round * 1_500 + 1_500, { incarnation: 9_000, sequence: 6 + round, draining: true })
    assert.equal([find()?.incarnation, followed.fleet.findTarget('3')?.isLeaving()], [9_000, true])
  }
})

test('a late write by which an earlier incarnation announced that it leaves is taken back by the next entry of the known one', async () => {
  await write(0, { incarnation: 9_000, sequence: 1 })
  await write(500, { incarnation: 8_000, sequence: 90, draining: true })
  assert.ok(followed.fleet.findTarget('3')?.isLeaving())
  await write(1_500, { incarnation: 9_000, sequence: 2 })
  assert.not(followed.fleet.findTarget('3')?.isLeaving())
})

test('one entry that is written again, or read again, is no heartbeat', async () => {
  await write(0, { incarnation: 9_000, sequence: 5, draining: true })
  for (const now of [200, 2_500, 6_000]) await write(now, { incarnation: 8_000, sequence: 90 })
  followed.store.dropHistory()
  await write(8_000, { incarnation: 8_000, sequence: 90 })
  assert.equal([find()?.incarnation, followed.fleet.findTarget('3')?.isLeaving()], [9_000, true])
})

test.run()
