import { createSeededRandom } from 'almondrelay'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { LimitFleet } from '../__fixtures__/limitFleet.js'
import { runRandomLimitDay } from '../__fixtures__/runRandomLimitDay.js'

const test = suite('the request limit of a target, over all hosts of a region')
const SEEDS = 60
const LIMIT = 5.7
const STATED_AT_MS = 2_000
const LIFTED_AT_MS = 20_000

// Guards against hosts that together send more than the limit: each its whole part at once, after a restart, or with lost reports.
test('hosts never send more together than the users bear', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) assert.ok(runRandomLimitDay(seed) <= 0, `seed ${seed}`)
})

// Guards against a target that is shunned for as long as it states a limit, and against one that is never used in full again.
test('a target gets most of what it takes while its limit is in force, and all requests a few seconds after it lifts the limit', () => {
  const demandPerSecond = 25
  for (const hosts of [2, 3]) {
    const fleet = new LimitFleet({ hosts, demandPerSecond, random: createSeededRandom(7), limitAt: (now) => now >= STATED_AT_MS && now < LIFTED_AT_MS ? LIMIT : Infinity })
    fleet.run(LIFTED_AT_MS + 16_000)
    const limitedPerSecond = fleet.countArrivals(STATED_AT_MS + 4_000, LIFTED_AT_MS) / 14
    assert.ok(limitedPerSecond >= 0.7 * LIMIT && limitedPerSecond <= LIMIT * 1.05, `${limitedPerSecond} requests per second with ${hosts} hosts`)
    const liftedPerSecond = fleet.countArrivals(LIFTED_AT_MS + 6_000, LIFTED_AT_MS + 16_000) / 10
    assert.ok(liftedPerSecond >= 0.85 * demandPerSecond, `${liftedPerSecond} requests per second with ${hosts} hosts`)
  }
})

test.run()
