import { createSeededRandom } from 'almondrelay'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { AllowanceFleet } from '../__fixtures__/allowanceFleet.js'
import { runRandomDay } from '../__fixtures__/runRandomDay.js'
import { Allowances } from '../allowances.js'

const test = suite('allowances of organisations across all hosts')
const ZONES = 6
const HOSTS_PER_ZONE = 12
const HOSTS = ZONES * HOSTS_PER_ZONE
const WINDOW_MS = 5_000
const RATES = [15, 60, 282]
/**
 * Largest number of requests per window that the operators accept: the rate over the window and the burst, a tenth more, and twenty
 * requests.
 */
const computeBound = (rate: number): number => (rate * 5 + rate) * 1.1 + 20
/** Share of the requests below the limit that may be refused by chance. */
const REFUSED_BY_CHANCE = 0.05

type Options = ConstructorParameters<typeof AllowanceFleet>[0]

const runFleet = (ratePerSecond: number, options: Pick<Options, 'ask'> & Partial<Options>, untilMs = 20_000): AllowanceFleet => {
  const fleet = new AllowanceFleet({ zones: ZONES, hostsPerZone: HOSTS_PER_ZONE, windowMs: WINDOW_MS, ratePerSecond, burst: ratePerSecond, random: createSeededRandom(7), ...options })
  fleet.run(untilMs)
  return fleet
}
const isSurge = (now: number): boolean => now > 10_000 && now < 18_000
const computeWronglyRefusedShare = (fleet: AllowanceFleet): number => fleet.countWronglyRefused() / (fleet.refused.length + fleet.ran.length)

// Guards against splitting the limit equally among the hosts. Each of 72 hosts receives a request of a medium-sized organisation only
// once in four seconds; with an equal split nearly all would be refused, although the organisation sends little more than half of its
// limit.
test('an organisation at its usual rate is never refused, however few of its requests each host receives', () => {
  for (const rate of [6, ...RATES]) assert.is(runFleet(rate, { ask: () => rate * 0.625 / HOSTS }).refused.length, 0, String(rate))
})

test('at nine tenths of the limit hardly any request is refused: with even traffic, in bursts and while callers move between zones', () => {
  const patterns: Array<(rate: number) => Options['ask']> = [
    (rate) => () => rate * 0.9 / HOSTS,
    (rate) => (_, now) => now % 2_200 < 1_000 ? rate * 1.98 / HOSTS : 0,
    (rate) => ({ zone }, now) => Math.floor(now / 4_000) % ZONES === zone ? rate * 0.9 / HOSTS_PER_ZONE : 0
  ]
  for (const rate of RATES) {
    for (const pattern of patterns) {
      const shares = [1, 2, 3, 4].map((seed) => computeWronglyRefusedShare(runFleet(rate, { ask: pattern(rate), random: createSeededRandom(seed) })))
      const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length
      assert.ok(mean < REFUSED_BY_CHANCE, `${rate}: ${shares.join(', ')}`)
    }
  }
})

// Guards against limits that each host applies to its own count. A customer's batch job suddenly sends nearly five times its limit;
// each host receives so few of the requests that it would refuse none, and 75 hosts together would admit 75 times the limit.
test('a sudden surge through all hosts, or through five, stays within the limit', () => {
  for (const rate of RATES) {
    const all = runFleet(rate, { ask: (_, now) => rate * (isSurge(now) ? 4.7 : 0.625) / HOSTS })
    const few = runFleet(rate, { ask: ({ index }, now) => rate * 0.625 / HOSTS + (isSurge(now) && index < 5 ? rate * 4 / 5 : 0) })
    for (const fleet of [all, few]) assert.ok(fleet.findMaxInWindow() <= computeBound(rate), `${rate}: ${fleet.findMaxInWindow()}`)
  }
})

// Guards against refusing too much under a long overload. If requests are admitted only by the room that is free at the moment, the
// window never fills: the organisation gets four fifths of its limit, while its callers are told that it has used all of it.
test('an organisation that constantly exceeds its limit gets nearly all of the limit', () => {
  for (const rate of RATES) {
    for (const surge of [1.5, 2.5, 4.7]) {
      const fleets = [1, 2, 3].map((seed) => runFleet(rate, { ask: (_, now) => rate * (isSurge(now) ? surge : 0.625) / HOSTS, random: createSeededRandom(seed) }))
      const ran = fleets.reduce((sum, fleet) => sum + fleet.ran.filter((at) => at > 13_000 && at <= 18_000).length, 0) / fleets.length
      assert.ok(ran >= (rate * 5 + rate) * 0.9, `${rate}: ${ran} of ${rate * 6}`)
      for (const fleet of fleets) assert.ok(fleet.findMaxInWindow() <= computeBound(rate), `${rate}: ${fleet.findMaxInWindow()}`)
    }
  }
})

// Guards against isolated hosts that use the whole limit. A third of the hosts is isolated, each from all others, and keeps its
// callers. Each receives no reports, and without a reduced limit would admit as many requests as all hosts together may.
test('isolated hosts and the remaining hosts together stay within the limit', () => {
  for (const rate of RATES) {
    for (const surgeAt of [5_000, 9_000]) {
      const fleet = runFleet(rate, {
        ask: (_, now) => rate * (now > surgeAt ? 4.7 : 0.625) / HOSTS,
        isLinked: (from, to, now) => now <= 8_000 || (from % 3 !== 0 && to % 3 !== 0)
      })
      assert.ok(fleet.findMaxInWindow() <= computeBound(rate), `${rate}: ${fleet.findMaxInWindow()}`)
    }
  }
})

// Guards against a restart that forgets usage. All hosts are killed at the peak of a surge and restarted. They don't know the requests
// that they admitted a second ago and that are still in the window.
test('hosts that restart at the peak of a surge stay within the limit, and hardly refuse requests at the usual rate', () => {
  const isDown = (index: number, now: number): boolean => now > 13_000 && now < 14_000 + index * 10
  for (const rate of RATES) {
    assert.ok(runFleet(rate, { ask: (_, now) => rate * (now > 9_000 ? 4.7 : 0.625) / HOSTS, isDown }).findMaxInWindow() <= computeBound(rate), String(rate))
    assert.ok(computeWronglyRefusedShare(runFleet(rate, { ask: () => rate * 0.625 / HOSTS, isDown })) < 0.01, String(rate))
  }
})

// Guards against aggregators that lose their zone's usage. Both aggregators of each zone are killed and restarted. They receive only
// later reports; for five seconds, by their sums alone, the limit of a window would be admitted a second time.
test('restarted aggregators take into account what their zone admitted before', () => {
  for (const rate of RATES) {
    const fleet = runFleet(rate, {
      ask: (_, now) => rate * (now > 9_000 ? 4.7 : 0.625) / HOSTS,
      isDown: (index, now) => index % HOSTS_PER_ZONE < 2 && now > 13_000 && now < 14_000
    })
    assert.ok(fleet.findMaxInWindow() <= computeBound(rate), `${rate}: ${fleet.findMaxInWindow()}`)
  }
})

// Guards against new aggregators that trust incomplete sums. Both aggregators of each zone are lost for good, and the next two hosts
// replace them. Although these have run for long, they receive the other hosts' reports only from now on; earlier requests in the
// window are missing.
test('hosts that become aggregators take into account that they missed earlier reports', () => {
  for (const rate of RATES) {
    const fleet = runFleet(rate, {
      ask: (_, now) => rate * (now > 9_000 ? 4.7 : 0.625) / HOSTS,
      isDown: (index, now) => index % HOSTS_PER_ZONE < 2 && now > 13_000
    })
    assert.ok(fleet.findMaxInWindow() <= computeBound(rate), `${rate}: ${fleet.findMaxInWindow()}`)
  }
})

test('lost, late and duplicated datagrams neither add to the usage nor hide it', () => {
  for (const rate of RATES) {
    const fleet = runFleet(rate, { ask: (_, now) => rate * (isSurge(now) ? 4.7 : 0.625) / HOSTS, loss: 0.2 })
    assert.ok(fleet.findMaxInWindow() <= computeBound(rate), `${rate}: ${fleet.findMaxInWindow()}`)
  }
})

test('admitted requests that are not run are released', () => {
  const fleet = runFleet(60, { ask: () => 60 * 1.25 / HOSTS, notRun: 0.3 })
  assert.ok(computeWronglyRefusedShare(fleet) < REFUSED_BY_CHANCE, String(computeWronglyRefusedShare(fleet)))
})

test('a limit that is lowered far below the usage takes effect within a window', () => {
  const fleet = runFleet(60, { ask: () => 60 * 0.9 / HOSTS, ratePerSecondAt: (now) => now < 8_000 ? 60 : 10 })
  const late = fleet.ran.filter((at) => at >= 13_000 && at < 18_000).length
  assert.ok(late <= (10 * 5 + 60) * 1.1 + 20, String(late))
  assert.ok(late > 0)
})

test('the datagrams that a host sends per second grow with the zones and the hosts of its zone, not with all hosts', () => {
  const countSent = (zones: number, hostsPerZone: number): number => {
    const fleet = new AllowanceFleet({ zones, hostsPerZone, windowMs: WINDOW_MS, ratePerSecond: 60, burst: 60, random: createSeededRandom(1), ask: () => 0 })
    fleet.run(1_000)
    return fleet.datagramsSent / zones / hostsPerZone
  }
  assert.ok(countSent(9, 22) < countSent(6, 13) * 1.5)
})

test('requests of an organisation without a limit are never refused and never counted', () => {
  const allowances = new Allowances({ availabilityZone: 'z', windowMs: WINDOW_MS, startedAt: 0, countHosts: () => 1, isAggregator: () => true })
  allowances.setOrganisations([{ name: 'school', keys: [], priority: 0, ratePerSecond: 0, burst: 0, allowedRegions: [] }])
  assert.not(allowances.hasLimits)
  assert.is(allowances.claim('school', 1).allowedPart, 1)
  assert.is(allowances.takeChangedTotals().size, 0)
})

// Guards against a total below zero, which can't be encoded in a report and made the host exit. Requests are in progress when the
// operators set a limit for their organisation. They end without having been run, and were then subtracted from a count to which they
// had never been added.
test('requests admitted without a limit aren\'t released from a limit that was set later, nor from one that was removed and set again', () => {
  const allowances = new Allowances({ availabilityZone: 'z', windowMs: WINDOW_MS, startedAt: 0, countHosts: () => 1, isAggregator: () => true })
  const setRate = (ratePerSecond: number): void => { allowances.setOrganisations([{ name: 'school', keys: [], priority: 0, ratePerSecond, burst: 5, allowedRegions: [] }]) }
  for (const [before, after] of [[0, 10], [10, 0]] as const) {
    setRate(before)
    const claim = allowances.claim('school', 10_000)
    allowances.observeAdmitted(claim, 10_000)
    setRate(after)
    setRate(10)
    allowances.claim('school', 10_001)
    allowances.releaseClaim(claim, 10_000, 10_002)
    for (const { letThrough } of allowances.takeChangedTotals().values()) assert.ok(letThrough >= 0)
  }
})

test('on random days with surges, partitions, kills and losses the limit is kept', () => {
  for (let seed = 1; seed <= 30; seed += 1) {
    const { most, bound } = runRandomDay(seed)
    assert.ok(most <= bound, `seed ${seed}: ${most} of ${bound}`)
  }
})

test.run()
