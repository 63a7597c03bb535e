import { createSeededRandom } from 'almondrelay'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { QuarantineFleet } from '../__fixtures__/quarantineFleet.js'

const test = suite('a request that makes its targets exit, under faults')
/** Milliseconds for which a host must have been up and reached the store to be checked, and within which it must know of the quarantine. */
const STABLE_WINDOW_MS = 4_000
const MAX_LATE_SENDS = 3
const RUN_MS = 60_000
const SEEDS = Array.from({ length: 20 }, (_, index) => 1_001 + index)

interface Span {
  from: number
  until: number
}
const pickSpan = (random: () => number, mostMs: number): Span => {
  const from = random() * 20_000
  return { from, until: from + random() * mostMs }
}
const isWithin = ({ from, until }: Span, now: number): boolean => now >= from && now < until

// Guards against each host sending the request as if it were new, because no single host observed all three exits, or because hosts
// were killed, partitioned from each other or cut off from the store when they observed them.
for (const seed of SEEDS) {
  test(`is sent at most three more times by hosts that reach the store, seed ${seed}`, async () => {
    const random = createSeededRandom(seed)
    const hosts = random() < 0.25 ? 40 : 2 + Math.floor(random() * 9)
    const [outage, cut, partition, kill] = [pickSpan(random, 10_000), pickSpan(random, 10_000), pickSpan(random, 10_000), pickSpan(random, 3_000)]
    const kinds = Array.from({ length: 4 }, () => random() < 0.5)
    const picked = Array.from({ length: hosts }, () => random() < 0.4)
    const fleet = new QuarantineFleet({
      hosts,
      targets: 6 + Math.floor(random() * 12),
      random,
      poisonPerSecond: 0.5 + random() * 8,
      hotPaths: 2,
      hotPerSecond: 10,
      loss: random() < 0.5 ? 0.1 : 0,
      reachesStore: (host, now) => !(kinds[0] === true && isWithin(outage, now)) && !(kinds[1] === true && picked[host] === true && isWithin(cut, now)),
      isLinked: (from, to, now) => !(kinds[2] === true && isWithin(partition, now) && picked[from] !== picked[to]),
      isDown: (host, now) => kinds[3] === true && picked[host] === true && isWithin(kill, now)
    })
    await fleet.run(RUN_MS)
    assert.ok(fleet.ends.length >= 3)
    assert.ok(fleet.countLateSends(STABLE_WINDOW_MS) <= MAX_LATE_SENDS, `${fleet.countLateSends(STABLE_WINDOW_MS)} late sends, ${fleet.ends.length} exits`)
  })
}

// Guards against records that lapse while the store is unavailable: after a later restart of all hosts, none would know the request.
test('lapsed records are written again before all hosts are restarted', async () => {
  const random = createSeededRandom(9)
  const fleet = new QuarantineFleet({ hosts: 8, targets: 14, random, poisonPerSecond: 6, hotPaths: 2, hotPerSecond: 10, lapseAt: 20_000, isDown: (host, now) => now >= 24_000 + host * 500 && now < 25_000 + host * 500 })
  await fleet.run(RUN_MS)
  const endsAfter = fleet.ends.filter((at) => at >= 24_000).length
  assert.ok(endsAfter < 3, `${endsAfter} targets exited after the hosts were restarted`)
  assert.ok(fleet.countLateSends(STABLE_WINDOW_MS) <= MAX_LATE_SENDS)
})

// Guards against records that are gone after the store has returned from a copy, while no caller sends the request: the hosts that start
// later would not know it.
test('records that the store has lost are written again before all hosts are restarted', async () => {
  for (const seed of SEEDS.slice(0, 5)) {
    const random = createSeededRandom(seed)
    const fleet = new QuarantineFleet({ hosts: 8, targets: 14, random, poisonPerSecond: 6, hotPaths: 2, hotPerSecond: 10, isPoisonPaused: (now) => now >= 17_500 && now < 38_000, storeReturns: [{ copiedAt: 0, at: 18_000 }, { copiedAt: 18_500, at: 24_000 }], isDown: (host, now) => now >= 32_000 + host * 500 && now < 33_000 + host * 500 })
    await fleet.run(RUN_MS)
    const endsAfter = fleet.ends.filter((at) => at >= 32_000).length
    assert.ok(endsAfter < 3, `${endsAfter} targets exited after the hosts were restarted, seed ${seed}`)
    assert.ok(fleet.countLateSends(STABLE_WINDOW_MS) <= MAX_LATE_SENDS)
  }
})

// Guards against refusing requests for popular objects because a third of the targets crashes every two seconds, whatever they run.
test('frequently requested objects are still served while targets exit for other reasons', async () => {
  const random = createSeededRandom(7)
  const fleet = new QuarantineFleet({ hosts: 8, targets: 14, random, poisonPerSecond: 0, hotPaths: 10, hotPerSecond: 10, findCrashShare: (now) => now % 2_000 === 0 ? 1 / 3 : 0 })
  await fleet.run(RUN_MS)
  assert.ok(fleet.refused.length <= fleet.served.length / 100, `${fleet.refused.length} refused, ${fleet.served.length} served`)
})

// Guards against refusing requests that merely run beside the one that makes one target after the other exit.
test('requests that run beside it are still served', async () => {
  const random = createSeededRandom(8)
  const fleet = new QuarantineFleet({ hosts: 8, targets: 14, random, poisonPerSecond: 6, hotPaths: 10, hotPerSecond: 10 })
  await fleet.run(RUN_MS)
  const refused = fleet.refused.filter(({ url }) => url !== '/poison')
  assert.ok(refused.length <= fleet.served.length / 100, `${refused.length} refused, ${fleet.served.length} served`)
})

test.run()
