import { createSeededRandom } from 'almondrelay'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { QuarantineFleet } from '../__fixtures__/quarantineFleet.js'

const test = suite('a request that ends its targets, in trouble')
/** Milliseconds for which a host has to have been in touch to be bound, and in which it has to know. */
const STABLE_WINDOW_MS = 4_000
const MOST_LATE_SENDS = 3
const DAY_MS = 60_000
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

// Guards against three ends that no single host has seen, or that were seen while hosts were killed, cut off from each other, or
// without the store: each host then sends the request on as if it were new.
for (const seed of SEEDS) {
  test(`is sent three times more at most by hosts in touch, seed ${seed}`, async () => {
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
    await fleet.run(DAY_MS)
    assert.ok(fleet.ends.length >= 3)
    assert.ok(fleet.countLateSends(STABLE_WINDOW_MS) <= MOST_LATE_SENDS, `${fleet.countLateSends(STABLE_WINDOW_MS)} late sends, ${fleet.ends.length} ends`)
  })
}

// Guards against records that lapse while the store is away: hosts that are all restarted later would know nothing of the request.
test('records that lapsed are written again before all hosts are restarted', async () => {
  const random = createSeededRandom(9)
  const fleet = new QuarantineFleet({ hosts: 8, targets: 14, random, poisonPerSecond: 6, hotPaths: 2, hotPerSecond: 10, lapseAt: 20_000, isDown: (host, now) => now >= 24_000 + host * 500 && now < 25_000 + host * 500 })
  await fleet.run(DAY_MS)
  const endsAfter = fleet.ends.filter((at) => at >= 24_000).length
  assert.ok(endsAfter < 3, `${endsAfter} targets ended after the hosts were restarted`)
  assert.ok(fleet.countLateSends(STABLE_WINDOW_MS) <= MOST_LATE_SENDS)
})

// Guards against objects of many callers that are refused since a third of the targets ends every two seconds, whatever they run.
test('objects that are asked for often are served on while targets end for other reasons', async () => {
  const random = createSeededRandom(7)
  const fleet = new QuarantineFleet({ hosts: 8, targets: 14, random, poisonPerSecond: 0, hotPaths: 10, hotPerSecond: 10, findCrashPart: (now) => now % 2_000 === 0 ? 1 / 3 : 0 })
  await fleet.run(DAY_MS)
  assert.ok(fleet.refused.length <= fleet.served.length / 100, `${fleet.refused.length} refused, ${fleet.served.length} served`)
})

// Guards against objects that are refused for the company of a request that ends one target after the other.
test('objects that run beside it are served on', async () => {
  const random = createSeededRandom(8)
  const fleet = new QuarantineFleet({ hosts: 8, targets: 14, random, poisonPerSecond: 6, hotPaths: 10, hotPerSecond: 10 })
  await fleet.run(DAY_MS)
  const refused = fleet.refused.filter(({ url }) => url !== '/poison')
  assert.ok(refused.length <= fleet.served.length / 100, `${refused.length} refused, ${fleet.served.length} served`)
})

test.run()
