import { createSeededRandom } from 'almondrelay'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ReturnFleet } from '../__fixtures__/returnFleet.js'

const test = suite('a region that relies on watchers while the store returns from copies')
/** Seeds that have shown a fault, and the first ones; MODEL_SEEDS says how many of these. */
const COUNT = Number(process.env['MODEL_SEEDS'] ?? 4)
const SEEDS = [7, 63, 84, 93, 94, 112, 118, 135, ...Array.from({ length: COUNT }, (_, index) => index + 1), ...Array.from({ length: COUNT }, (_, index) => 1_001 + index)]
/** Hosts are suspended on the days of higher seeds. */
const SEEDS_WITHOUT_SUSPENSIONS = 1_000
const RUN_MS = 70_000
/** Milliseconds at the end of a day without any fault or change. */
const CALM_MS = 22_000

const build = (seed: number): ReturnFleet => {
  const random = createSeededRandom(seed)
  const fleet = new ReturnFleet(random, random() < 0.5 ? 0.1 : 0)
  const pickTime = (): number => 8_000 + random() * (RUN_MS - CALM_MS - 12_000)
  const returns = 1 + Math.floor(random() * 3)
  for (let count = 0; count < returns; count += 1) fleet.returnStore(pickTime(), 500 + random() * 12_000, 200 + random() * 2_500)
  for (let count = 0; count < random() * 3; count += 1) fleet.refuseStore(random() < 0.5 ? [0, 1] : [Math.floor(random() * 10)], pickTime(), 500 + random() * 5_000)
  for (let count = 0; count < random() * 3; count += 1) fleet.restart(Math.floor(random() * 10), pickTime())
  const suspended = seed > SEEDS_WITHOUT_SUSPENSIONS ? Math.floor(random() * 3) : 0
  for (let count = 0; count < suspended; count += 1) fleet.suspend(Math.floor(random() * 3), pickTime(), 500 + random() * 6_000)
  for (let count = 0; count < 20; count += 1) fleet.writeConfiguration(pickTime())
  for (let id = 0; id < 6; id += 1) fleet.writeDeparture(id, pickTime())
  fleet.writeEvacuation(0, pickTime(), 4_000 + random() * 10_000)
  return fleet
}

// Guards against hosts that miss a change, count one as known that they have not applied, or know one that is not in the store, because its
// history went back.
for (const seed of SEEDS) {
  test(`every host knows each change in time, and in the end what the store holds, seed ${seed}`, async () => {
    const fleet = build(seed)
    await fleet.run(RUN_MS)
    assert.equal(fleet.violations, [])
    assert.equal(fleet.listDifferences(), [])
    assert.ok(fleet.store.currentPages < 400, `${fleet.store.currentPages} pages read`)
  })
}

// The same where each version is so large that it is relayed as its difference from the one before.
for (const seed of SEEDS.slice(0, 2 * COUNT)) {
  test(`every host knows each large configuration in time, seed ${seed}`, async () => {
    const fleet = build(seed)
    fleet.padded = true
    await fleet.run(RUN_MS)
    assert.equal(fleet.violations, [])
    assert.equal(fleet.listDifferences(), [])
  })
}

test.run()
