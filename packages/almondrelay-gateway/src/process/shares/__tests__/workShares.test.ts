import { createSeededRandom } from 'almondrelay'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { computeHash } from '../../../version/computeHash.js'
import type { WorkReport } from '../workReport.js'
import { WorkShares } from '../workShares.js'

const test = suite('WorkShares')
const SERVICE = 'balances'
const STEP_MS = 100
const UPDATE_MS = 500
const WORK_MS = 100
const SEED = 5
/** Requests a second of the region that find room at targets: the capacity. */
const CAPACITY_PER_SECOND = 60
const [LARGE, SMALL] = [computeHash('large'), computeHash('small')]

interface RigHost { name: string, availabilityZone: string, region: string, isAggregator: boolean, isFirst: boolean, offsetMs: number, startedAt: number, shares: WorkShares, isUp: boolean, isHeard: boolean, refused: number[], admitted: number[], changes: string[] }

/** Hosts of a region that exchange reports, in virtual time: one organisation asks for five times as much as another one. */
class SharesRig {
  now = 10_000
  readonly hosts: RigHost[] = []
  private readonly random = createSeededRandom(SEED)
  private requests = 0

  add (name: string, availabilityZone: string, rank: number, region = 'akl'): RigHost {
    const place = { name, availabilityZone, region, isAggregator: rank <= 2, isFirst: rank === 1, offsetMs: 0, startedAt: this.now }
    const changes: string[] = []
    const host = Object.assign(place, { isUp: true, isHeard: true, refused: [], admitted: [], changes, shares: this.makeShares(place, changes) })
    this.hosts.push(host)
    return host
  }

  /** Replaces what a host knows, as a new process of it has. */
  restart (host: RigHost): void {
    host.shares = this.makeShares(host, host.changes)
  }

  private makeShares (place: Pick<RigHost, 'availabilityZone' | 'region' | 'isAggregator' | 'isFirst'>, changes: string[]): WorkShares {
    const { availabilityZone, region } = place
    return new WorkShares({ availabilityZone, region, startedAt: this.now, isAggregator: () => place.isAggregator, isFirstAggregator: () => place.isFirst, handleSnapshot: (_, aged, hasBegun) => { if (aged === undefined || hasBegun) changes.push(aged === undefined ? 'ended' : 'began') } })
  }

  /** @param perSecond requests a second of all hosts together */
  run (ms: number, perSecond: number): void {
    for (const end = this.now + ms; this.now < end; this.now += STEP_MS) {
      const up = this.hosts.filter(({ isUp, region }) => isUp && region === 'akl')
      let room = CAPACITY_PER_SECOND * STEP_MS / 1_000
      for (let request = 0; request < perSecond * STEP_MS / 1_000; request += 1) {
        const host = up[Math.floor(this.random() * up.length)] as RigHost
        if (this.call(host, this.requests % 6 === 0 ? SMALL : LARGE, room >= 1)) room -= 1
      }
      this.exchange()
    }
  }

  private call (host: RigHost, organisation: number, hasRoom: boolean): boolean {
    this.requests += 1
    const refusal = host.shares.decide({ service: SERVICE, organisation, organisationPriority: 0, route: 1, routePriority: 0, requestHash: computeHash(`request ${this.requests}`), arrivedAt: this.now, workMs: WORK_MS, remainingMs: 2_000, neededMs: 100 }, this.now, this.random())
    if (refusal !== undefined) {
      host.refused.push(organisation)
      return false
    }
    host.admitted.push(organisation)
    host.shares.observeOutcome(SERVICE, WORK_MS, hasRoom, !hasRoom, this.now)
    return hasRoom
  }

  private exchange (): void {
    const up = this.hosts.filter(({ isUp }) => isUp)
    for (const host of up.filter(({ offsetMs }) => (this.now - offsetMs) % UPDATE_MS === 0)) {
      host.shares.update(this.now)
      this.sendReport(host, host.shares.describeOwn(this.now), (other) => other.isAggregator && other.availabilityZone === host.availabilityZone)
      if (!host.isAggregator) continue
      this.sendReport(host, host.shares.describeZone(this.now), (other) => other.isAggregator && other.availabilityZone !== host.availabilityZone)
      const report = host.shares.describeShares(this.now)
      if (report !== undefined) this.sendReport(host, report, (other) => other.availabilityZone === host.availabilityZone)
    }
  }

  private sendReport (from: RigHost, report: WorkReport, isReceiver: (host: RigHost) => boolean): void {
    for (const to of this.hosts) if (to !== from && to.isUp && to.isHeard && from.isHeard && isReceiver(to)) to.shares.receiveReport(from.name, from, report, this.now)
  }
}

const countOf = (list: readonly number[], organisation: number): number => list.filter((each) => each === organisation).length
const makeRegion = (): { rig: SharesRig, host: RigHost } => {
  const rig = new SharesRig()
  for (const zone of ['one', 'two']) for (const rank of [1, 2, 3]) rig.add(`${zone}-${rank}`, zone, rank)
  return { rig, host: rig.hosts[2] as RigHost }
}

test('hosts of both zones refuse the organisation that asks for more than its share, and serve the other', () => {
  const { rig } = makeRegion()
  rig.run(8_000, 100)
  for (const { refused, changes } of rig.hosts) {
    assert.ok(countOf(refused, LARGE) > 10)
    assert.is(countOf(refused, SMALL), 0)
    assert.equal(changes, ['began'])
  }
})

test('nothing is refused while the service has room, and overload ends some seconds after demand has fallen', () => {
  const { rig } = makeRegion()
  rig.run(5_000, 50)
  assert.is(rig.hosts.flatMap(({ refused }) => refused).length, 0)
  rig.run(5_000, 100)
  rig.run(8_000, 30)
  for (const { changes } of rig.hosts) assert.equal(changes, ['began', 'ended'])
})

// Guards against shares that end, or stop the service, with the aggregator: the second one must take over from what it knows.
test('when the first aggregator is killed, the second one sends the shares', () => {
  const { rig, host } = makeRegion()
  rig.run(5_000, 100)
  const [first, second] = rig.hosts as [RigHost, RigHost]
  first.isUp = false
  rig.run(8_000, 100)
  assert.ok(second.shares.describeShares(rig.now) !== undefined)
  assert.ok((host.shares.findSnapshot(SERVICE, rig.now)?.ageMs ?? Infinity) <= 1_500)
  assert.is(countOf(host.refused, SMALL), 0)
})

// Guards against an overload that ends with each restart: the first aggregator comes back knowing nothing, and with the shares it sent at
// once, all hosts would have admitted everything.
test('when the first aggregator is restarted, the shares stay in force', () => {
  const { rig, host } = makeRegion()
  rig.run(5_000, 100)
  const [first] = rig.hosts as [RigHost]
  for (let restart = 0; restart < 2; restart += 1) {
    first.isUp = false
    rig.run(800, 100)
    first.isUp = true
    rig.restart(first)
    rig.run(8_200, 100)
  }
  assert.equal(host.changes, ['began'])
  assert.is(countOf(host.refused, SMALL), 0)
  assert.ok(first.shares.describeShares(rig.now) !== undefined)
})

// Guards against an overload that a restarted aggregator ends. It counted 1.5 s from its start, the second one from the last shares, so that
// it was in charge before it could hear the second one.
test('a restarted first aggregator that has heard no shares sends none until the second one can have taken over', () => {
  const shares = new WorkShares({ availabilityZone: 'one', region: 'akl', startedAt: 0, isAggregator: () => true, isFirstAggregator: () => true, handleSnapshot: () => undefined })
  for (let now = 100; now <= 2_400; now += 100) {
    if (now % UPDATE_MS === 100) shares.update(now)
    assert.is(shares.describeShares(now), undefined, String(now))
  }
  shares.update(2_700)
  assert.ok(shares.describeShares(2_700) !== undefined)
})

// Guards against empty shares of a host that has received shares since its last update and then comes in charge.
test('shares received just before an aggregator comes in charge are continued with', () => {
  const shares = new WorkShares({ availabilityZone: 'one', region: 'akl', startedAt: 0, isAggregator: () => true, isFirstAggregator: () => true, handleSnapshot: () => undefined })
  for (let now = 0; now <= 2_000; now += UPDATE_MS) shares.update(now)
  const snapshot = { capacityMs: 1_000, marginPriority: 0, shareMs: 100, organisations: new Map([[LARGE, { fraction: 0.1, askedMs: 900 }]]), routes: new Map() }
  shares.receiveReport('one-2', { availabilityZone: 'one', region: 'akl' }, { own: undefined, zone: undefined, shares: { clockMs: 1, snapshots: new Map([[computeHash(SERVICE), { snapshot, ageMs: 0 }]]) } }, 2_400)
  for (const now of [2_500, 2_510, 2_600]) {
    assert.ok(shares.findSnapshot(SERVICE, now) !== undefined)
    assert.is.not(shares.describeShares(now)?.shares?.snapshots.size, 0)
  }
  shares.update(2_610)
  assert.is(shares.describeShares(2_610)?.shares?.snapshots.size, 1)
})

// The moments at which the second one takes over, and at which the restarted one comes in charge, then fall in any order.
test('when the first aggregator is restarted 0.3 to 0.8 s after its last shares, they stay in force', () => {
  for (let downMs = 200; downMs <= 700; downMs += 100) {
    for (let offset = 0; offset < 10; offset += 1) {
      const { rig, host } = makeRegion()
      rig.run(5_100, 100)
      const [first, second] = rig.hosts as [RigHost, RigHost]
      first.isUp = false
      rig.run(downMs, 100)
      first.isUp = true
      first.offsetMs = offset % 5 * 100
      second.offsetMs = offset < 5 ? 0 : 400
      rig.restart(first)
      rig.run(8_000, 75)
      const place = `down ${downMs}, offset ${offset}`
      assert.equal(host.changes, ['began'], place)
      assert.equal(second.changes, ['began'], place)
      assert.ok(first.shares.describeShares(rig.now) !== undefined, place)
    }
  }
})

// Guards against hosts that become aggregators when both are killed: they came in charge knowing no overload, and ended it in the zone.
test('when both aggregators are killed, the ones that follow continue with the shares that they hold', () => {
  for (let unseenMs = 1_000; unseenMs <= 4_000; unseenMs += 300) {
    const { rig } = makeRegion()
    const followers = [rig.hosts[2] as RigHost, ...[4, 5, 6].map((rank) => rig.add(`one-${rank}`, 'one', rank))]
    rig.run(5_000, 100)
    for (const each of rig.hosts.slice(0, 2)) Object.assign(each, { isUp: false, isAggregator: false, isFirst: false })
    for (const [index, each] of followers.entries()) each.offsetMs = index * 100
    rig.run(unseenMs, 100)
    Object.assign(followers[0] as RigHost, { isAggregator: true, isFirst: true })
    Object.assign(followers[1] as RigHost, { isAggregator: true })
    rig.run(8_000, 100)
    for (const { name, changes, refused } of followers) {
      assert.equal(changes, ['began'], `${name}, unseen ${unseenMs}`)
      assert.is(countOf(refused, SMALL), 0)
    }
  }
})

// Guards against a change of the fleet's view for a moment, after which the aggregator in charge knew of no overload.
test('an aggregator that comes in charge again continues with the shares that it sent', () => {
  const { rig, host } = makeRegion()
  rig.run(5_000, 100)
  const [first, second] = rig.hosts as [RigHost, RigHost]
  second.isUp = false
  for (const isFirst of [false, true]) {
    Object.assign(first, { isAggregator: isFirst, isFirst })
    rig.run(isFirst ? 8_000 : 1_000, 100)
  }
  for (const { changes } of [first, host]) assert.equal(changes, ['began'])
})

test('a host that hears from nobody keeps the last shares for five seconds, and then decides by its own counts', () => {
  const { rig, host } = makeRegion()
  rig.run(5_000, 100)
  host.isHeard = false
  rig.run(4_000, 100)
  const aged = host.shares.findSnapshot(SERVICE, rig.now)
  assert.ok(aged !== undefined && aged.ageMs >= 4_000 && aged.ageMs <= 5_600)
  rig.run(8_000, 100)
  const alone = host.shares.findSnapshot(SERVICE, rig.now)
  // Its own callers ask for a sixth of the region's work.
  assert.ok(alone !== undefined && alone.snapshot.capacityMs < CAPACITY_PER_SECOND * WORK_MS / 2, String(alone?.snapshot.capacityMs))
})

// Guards against a host that refuses by chance what it can't judge: it has started a moment ago and knows no counts.
test('a host that has just started admits all until it hears the shares', () => {
  const { rig } = makeRegion()
  rig.run(5_000, 100)
  const late = rig.add('one-4', 'one', 4)
  assert.is(late.shares.findSnapshot(SERVICE, rig.now), undefined)
  rig.run(1_000, 100)
  assert.ok(late.shares.findSnapshot(SERVICE, rig.now) !== undefined)
})

// Guards against shares of another region: its overload says nothing about the targets of this one.
test('reports of another region, and shares from another zone, are ignored', () => {
  const { rig, host } = makeRegion()
  rig.run(5_000, 100)
  const report = rig.hosts[0]?.shares.describeShares(rig.now)
  assert.ok(report !== undefined)
  const fresh = rig.add('one-5', 'one', 5).shares
  fresh.receiveReport('far', { availabilityZone: 'one', region: 'wlg' }, report, rig.now)
  fresh.receiveReport('two-1', { availabilityZone: 'two', region: 'akl' }, report, rig.now)
  assert.is(fresh.findSnapshot(SERVICE, rig.now), undefined)
  fresh.receiveReport('one-1', host, report, rig.now)
  assert.ok(fresh.findSnapshot(SERVICE, rig.now) !== undefined)
})

// Guards against a caller that returns as told to a host of the other zone, and is drawn there by another clock.
test('hosts of both zones count time slots by the same clock, whenever they started', () => {
  const makeShares = (availabilityZone: string, isAggregator: boolean): WorkShares => new WorkShares({ availabilityZone, region: 'akl', startedAt: 0, isAggregator: () => isAggregator, isFirstAggregator: () => isAggregator, handleSnapshot: () => undefined })
  const [early, late, other] = [makeShares('one', true), makeShares('two', true), makeShares('two', false)]
  const [earlyNow, lateNow, otherNow] = [9_000_000, 5_000, 777]
  for (const [shares, now] of [[early, earlyNow], [late, lateNow], [other, otherNow]] as const) shares.update(now)
  late.receiveReport('one-1', { availabilityZone: 'one', region: 'akl' }, early.describeZone(earlyNow), lateNow)
  early.receiveReport('two-1', { availabilityZone: 'two', region: 'akl' }, late.describeZone(lateNow), earlyNow)
  const report = late.describeShares(lateNow)
  assert.ok(report !== undefined)
  other.receiveReport('two-1', { availabilityZone: 'two', region: 'akl' }, report, otherNow)
  const readClock = (shares: WorkShares, now: number): number | undefined => shares.describeZone(now).shares?.clockMs
  assert.is(readClock(early, earlyNow + 50), earlyNow + 50)
  assert.is(readClock(late, lateNow + 50), earlyNow + 50)
  assert.is(readClock(other, otherNow + 50), earlyNow + 50)
})

// Guards against an organisation of priority 1.5 that passes as more urgent than its rank, which reports contain as 2.
test('a priority with a fraction counts as the rank that the shares contain', () => {
  const { rig, host } = makeRegion()
  const snapshot = { capacityMs: 1_000, marginPriority: 2, shareMs: 100, organisations: new Map([[LARGE, { fraction: 0, askedMs: 900 }]]), routes: new Map() }
  host.shares.receiveReport('one-1', host, { own: undefined, zone: undefined, shares: { clockMs: 1, snapshots: new Map([[computeHash(SERVICE), { snapshot, ageMs: 0 }]]) } }, rig.now)
  const decide = (organisationPriority: number): boolean => host.shares.decide({ service: SERVICE, organisation: LARGE, organisationPriority, route: 1, routePriority: 0, requestHash: 1, arrivedAt: rig.now, workMs: 1, remainingMs: 2_000, neededMs: 100 }, rig.now, 0.5) === undefined
  assert.equal([1, 1.5, 2].map(decide), [true, false, false])
})

// Guards against a fraction that is lowered by requests that never ran: an organisation with short deadlines would get less than its share.
test('during overload a request that can\'t be served in the time left is counted as asked, not as admitted', () => {
  const { rig, host } = makeRegion()
  const decide = (remainingMs: number): void => { host.shares.decide({ service: SERVICE, organisation: LARGE, organisationPriority: 0, route: 1, routePriority: 0, requestHash: 1, arrivedAt: rig.now, workMs: WORK_MS, remainingMs, neededMs: 100 }, rig.now, 0.5) }
  const readWork = (): object | undefined => {
    host.shares.observeOutcome(SERVICE, 0, false, true, rig.now)
    return host.shares.describeOwn(rig.now).own?.get(computeHash(SERVICE))?.work.organisations.get(LARGE)
  }
  const snapshot = { capacityMs: 1_000, marginPriority: 1, shareMs: 100, organisations: new Map(), routes: new Map() }
  host.shares.receiveReport('one-1', host, { own: undefined, zone: undefined, shares: { clockMs: 1, snapshots: new Map([[computeHash(SERVICE), { snapshot, ageMs: 0 }]]) } }, rig.now)
  decide(99)
  assert.equal(readWork(), { priority: 0, askedMs: 2 * WORK_MS, admittedMs: 0 })
  decide(100)
  assert.equal(readWork(), { priority: 0, askedMs: 4 * WORK_MS, admittedMs: 2 * WORK_MS })
})

// Guards against a caller that comes back as told and is refused, as a slow host handles its request in a later slot than it arrived in.
test('a request is drawn in the slot in which it arrived, however late it is handled', () => {
  const { rig, host } = makeRegion()
  const snapshot = { capacityMs: 1_000, marginPriority: 0, shareMs: 100, organisations: new Map([[LARGE, { fraction: 0.5, askedMs: 900 }]]), routes: new Map() }
  host.shares.receiveReport('one-1', host, { own: undefined, zone: undefined, shares: { clockMs: 1, snapshots: new Map([[computeHash(SERVICE), { snapshot, ageMs: 0 }]]) } }, rig.now)
  const decide = (requestHash: number, now: number): boolean => host.shares.decide({ service: SERVICE, organisation: LARGE, organisationPriority: 0, route: 1, routePriority: 0, requestHash, arrivedAt: rig.now, workMs: 1, remainingMs: 2_000, neededMs: 100 }, now, 0.5) === undefined
  const hashes = Array.from({ length: 100 }, (_, index) => computeHash(`request ${index}`))
  const draws = hashes.map((hash) => decide(hash, rig.now))
  assert.ok(new Set(draws).size === 2)
  assert.equal(hashes.map((hash) => decide(hash, rig.now + 150)), draws)
})

// Guards against reports that cost much while nothing is decided by them.
test('a host reports no organisations of a service that turns nobody away', () => {
  const { rig, host } = makeRegion()
  rig.run(3_000, 50)
  assert.is(host.shares.describeOwn(rig.now).own?.get(computeHash(SERVICE))?.work.organisations.size, 0)
  rig.run(3_000, 100)
  assert.is(host.shares.describeOwn(rig.now).own?.get(computeHash(SERVICE))?.work.organisations.size, 2)
})

test.run()
