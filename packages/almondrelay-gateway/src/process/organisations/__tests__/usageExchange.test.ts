import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FleetState } from '../../fleet/fleetState.js'
import type { HostEntry } from '../../fleet/hostEntry.js'
import { DATAGRAM_OVERHEAD } from '../../peers/datagramOverhead.js'
import { decodeDatagram } from '../../peers/decodeDatagram.js'
import type { PeerSocket } from '../../peers/peerSocket.js'
import { PeerView } from '../../peers/peerView.js'
import { computeHash } from '../../../version/computeHash.js'
import { WorkShares } from '../../shares/workShares.js'
import { Allowances } from '../allowances.js'
import { encodeUsageReport } from '../encodeUsageReport.js'
import { UsageExchange } from '../usageExchange.js'
import type { UsageReport } from '../usageReport.js'

const test = suite('UsageExchange')
const SEED = 20_261_203
const SCHOOL = { name: 'school', keys: ['key-of-school'], priority: 0, ratePerSecond: 10, burst: 0, allowedRegions: [] }

const makeEntry = (name: string, availabilityZone: string): HostEntry => ({ name, incarnation: 'i1', availabilityZone, region: 'akl', ip: `10.0.0.${name.length}${name.charCodeAt(0)}`, callerPort: 1, peerPort: 2 })
const makeReport = (content: Partial<UsageReport> = {}): UsageReport => ({ host: 'a', incarnation: 'i1', availabilityZone: 'one', sequence: 1, totals: new Map(), zone: undefined, fleet: undefined, ...content })

/** One host in a fleet of two zones. Records the reports that it sends and their receivers. */
class UsageRig {
  readonly sent: Array<{ to: string, report: UsageReport }> = []
  readonly allowances: Allowances
  readonly exchange: UsageExchange
  readonly shares: WorkShares | undefined
  readonly errors: Error[] = []
  sendError: Error | undefined
  bytes = 0
  now = 10_000
  sleep: (ms: number) => Promise<void> = () => Promise.resolve()
  private readonly fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })

  /** @param hasShares whether fair shares are held */
  constructor (name: string, hasShares = false, hostsInZone = 4) {
    const entries = [...['a', 'b', 'c', 'd'].map((each) => makeEntry(each, 'one')), ...['x', 'y', 'z'].map((each) => makeEntry(each, 'two')), ...(hasShares ? [{ ...makeEntry('v', 'three'), region: 'wlg' }] : []), ...Array.from({ length: hostsInZone - 4 }, (_, index) => ({ ...makeEntry(`e${index}`, 'one'), ip: `10.0.1.${index}` }))]
    for (const entry of entries) this.fleet.putHost(entry)
    this.fleet.isComplete = true
    const own = entries.find((entry) => entry.name === name) as HostEntry
    const view = new PeerView(own, this.fleet)
    this.allowances = new Allowances({ availabilityZone: 'one', windowMs: 5_000, startedAt: 0, countHosts: () => entries.length, isAggregator: (now) => view.isAggregator(now) })
    const socket = {
      send: (bytes: Uint8Array, ip: string) => {
        if (this.sendError !== undefined) throw this.sendError
        this.bytes += bytes.byteLength + DATAGRAM_OVERHEAD
        const message = decodeDatagram(bytes)
        const to = entries.find((entry) => entry.ip === ip)
        if (message?.kind === 'use' && to !== undefined) this.sent.push({ to: to.name, report: message.report })
      }
    } as unknown as PeerSocket
    this.shares = hasShares ? new WorkShares({ availabilityZone: 'one', region: 'akl', startedAt: 0, isAggregator: (now) => view.isAggregator(now), isFirstAggregator: () => name === 'a', handleSnapshot: () => undefined }) : undefined
    this.exchange = new UsageExchange({ own, view, allowances: this.allowances, shares: this.shares, socket, log: { logError: (_, error) => { this.errors.push(error) } }, getNow: () => this.now, sleep: (ms) => this.sleep(ms) })
  }

  async runOnce (): Promise<void> {
    const stop = new AbortController()
    const running = this.exchange.run(stop.signal)
    stop.abort()
    await running
  }

  listReceivers (has: (report: UsageReport) => boolean): string[] {
    return [...new Set(this.sent.filter(({ report }) => has(report)).map(({ to }) => to))].sort()
  }
}

test('nothing is sent if no organisation has a limit', async () => {
  const rig = new UsageRig('a')
  await rig.runOnce()
  assert.is(rig.sent.length, 0)
})

// Guards against a late first report. All hosts were killed at the peak of a surge and restarted; each checked for limits before it had
// its configuration, found none and checked again a second later. For a second no host reported what it admitted, and a window exceeded
// its bound.
test('a host that receives limits after its start reports its usage within a quarter of a second', async () => {
  const rig = new UsageRig('c')
  const stop = new AbortController()
  const startedAt = rig.now
  rig.sleep = (ms) => {
    rig.now += ms
    if (rig.sent.length > 0) stop.abort()
    if (!rig.allowances.hasLimits) {
      rig.allowances.setOrganisations([SCHOOL])
      rig.allowances.claim('school', rig.now)
    }
    return Promise.resolve()
  }
  await rig.exchange.run(stop.signal)
  assert.ok(rig.now - startedAt <= 500, String(rig.now - startedAt))
})

test('a host sends its own counts to the two aggregators of its zone, and to no other host', async () => {
  const rig = new UsageRig('c')
  rig.allowances.setOrganisations([SCHOOL])
  rig.allowances.claim('school', rig.now)
  await rig.runOnce()
  assert.equal(rig.sent.map(({ to }) => to).sort(), ['a', 'b'])
  assert.equal([...(rig.sent[0]?.report.totals.values() ?? [])], [{ asked: 1, letThrough: 0 }])
})

test('an aggregator sends its zone\'s sum to the aggregators of other zones, and the sum of all zones to the hosts of its zone', async () => {
  const rig = new UsageRig('a')
  rig.allowances.setOrganisations([SCHOOL])
  for (let request = 0; request < 40; request += 1) {
    rig.allowances.observeAdmitted(rig.allowances.claim('school', rig.now), rig.now)
  }
  await rig.runOnce()
  assert.equal(rig.listReceivers(({ zone }) => zone !== undefined), ['x', 'y'])
  assert.equal(rig.listReceivers(({ fleet }) => fleet !== undefined), ['b', 'c', 'd'])
  assert.is(rig.sent.find(({ report }) => report.zone !== undefined)?.report.zone?.usageByOrganisation.size, 1)
})

// Guards against forged reports: anybody can send to the port. With a made-up sum, or one of a host's earlier incarnation, the requests
// of a customer would be refused at all hosts.
test('a report is applied only if it is of a host\'s current incarnation and came from its address', () => {
  const rig = new UsageRig('c')
  rig.allowances.setOrganisations([SCHOOL])
  rig.allowances.claim('school', rig.now)
  const [hash] = rig.allowances.takeChangedTotals().keys() as unknown as [number]
  const fleet = { hosts: 7, unseenMs: 0, usageByOrganisation: new Map([[hash, { letThrough: 1_000, leavingPerSecond: 0, askedPerSecond: 200 }]]) }
  const { ip } = makeEntry('a', 'one')
  rig.exchange.handleReport(makeReport({ fleet, incarnation: 'i0' }), ip)
  rig.exchange.handleReport(makeReport({ fleet }), '10.9.9.9')
  rig.exchange.handleReport(makeReport({ fleet, host: 'x' }), makeEntry('x', 'two').ip)
  rig.exchange.handleReport(makeReport({ fleet, host: 'unknown' }), ip)
  assert.ok(rig.allowances.claim('school', rig.now).allowedPart > 0)
  rig.exchange.handleReport(makeReport({ fleet }), ip)
  assert.is(rig.allowances.claim('school', rig.now).allowedPart, 0)
})

test('reports decode to what was encoded, and arbitrary bytes decode to a valid report or to nothing', () => {
  const report = makeReport({ totals: new Map([[7, { asked: 3, letThrough: 2 }]]), zone: { hosts: 4, unseenMs: 20, usageByOrganisation: new Map([[9, { letThrough: 5, leavingPerSecond: 0, askedPerSecond: 1.5 }]]) } })
  const bytes = encodeUsageReport(report)
  assert.equal(decodeDatagram(bytes), { kind: 'use', report })
  fc.assert(fc.property(fc.nat(bytes.length - 1), fc.nat(255), fc.nat(bytes.length), (place, value, length) => {
    const changed = Uint8Array.from(bytes)
    changed[place] = value
    const message = decodeDatagram(changed.subarray(0, length))
    const uses = message?.kind === 'use' ? [...(message.report.zone?.usageByOrganisation.values() ?? [])] : []
    return uses.every(({ askedPerSecond }) => Number.isFinite(askedPerSecond) && askedPerSecond >= 0)
  }), { seed: SEED, numRuns: 2_000 })
})

// Guards against fractions in integer fields. When the next report of a zone is overdue, its hosts count in part. A sum had 5.6 hosts,
// which can't be encoded as an integer, and the aggregator exited, again after each restart.
test('a sum that includes an overdue report is encoded in whole numbers', async () => {
  const rig = new UsageRig('a')
  rig.allowances.setOrganisations([SCHOOL])
  rig.allowances.claim('school', rig.now)
  const [hash] = rig.allowances.takeChangedTotals().keys() as unknown as [number]
  rig.exchange.handleReport(makeReport({ host: 'x', availabilityZone: 'two', zone: { hosts: 3, unseenMs: 0.5, usageByOrganisation: new Map([[hash, { letThrough: 7, leavingPerSecond: 0, askedPerSecond: 200 }]]) } }), makeEntry('x', 'two').ip)
  rig.now += 1_000
  await rig.runOnce()
  const fleetUsage = rig.sent.find(({ report }) => report.fleet !== undefined)?.report.fleet
  assert.ok(fleetUsage !== undefined && fleetUsage.hosts >= 1 && fleetUsage.hosts < 4)
  assert.ok((fleetUsage.usageByOrganisation.get(hash)?.letThrough ?? 0) > 7)
})

/** Sends requests of 73 organisations for a time, more than there is room for, and lets the host send its reports. */
const runOverload = async (rig: UsageRig, ms: number, handleRound: () => void = () => undefined): Promise<void> => {
  const stop = new AbortController()
  const end = rig.now + ms
  let requests = 0
  rig.sleep = (sleepMs) => {
    for (let request = 0; request < sleepMs / 10; request += 1) {
      requests += 1
      const organisation = computeHash(`organisation ${requests % 73}`)
      rig.shares?.decide({ service: 'balances', organisation, organisationPriority: 0, route: 1, routePriority: 0, requestHash: requests, arrivedAt: rig.now, workMs: 100, remainingMs: 2_000, neededMs: 100 }, rig.now, 0.5)
      rig.shares?.observeOutcome('balances', 100, requests % 3 === 0, requests % 3 !== 0, rig.now)
    }
    handleRound()
    rig.now += sleepMs
    if (rig.now >= end) stop.abort()
    return Promise.resolve()
  }
  await rig.exchange.run(stop.signal)
}

test('where fair shares are held, work is reported to the zone\'s aggregators without limits too, sums within the region, shares to the zone', async () => {
  const host = new UsageRig('c', true)
  await runOverload(host, 3_000)
  assert.equal(host.listReceivers(({ work }) => work?.own !== undefined), ['a', 'b'])
  assert.equal(host.listReceivers(({ work }) => work?.zone !== undefined || work?.shares !== undefined), [])
  const aggregator = new UsageRig('a', true)
  await runOverload(aggregator, 5_000)
  assert.equal(aggregator.listReceivers(({ work }) => work?.zone !== undefined), ['x', 'y'])
  assert.equal(aggregator.listReceivers(({ work }) => (work?.shares?.snapshots.size ?? 0) > 0), ['b', 'c', 'd'])
})

// Guards against control traffic that grows with the zone: 4 KB a second a host, whatever the number of hosts and organisations.
test('reports of work stay within four kilobytes a second, at an aggregator of a zone of 13 and of 60 hosts too', async () => {
  for (const [name, hosts] of [['c', 13], ['a', 13], ['a', 60]] as const) {
    const rig = new UsageRig(name, true, hosts)
    await runOverload(rig, 60_000)
    assert.ok(rig.bytes / 60 <= 4_200, `${name} of ${hosts}: ${rig.bytes / 60}`)
  }
})

// Guards against limits that are held less exactly where fair shares are held: the bytes of shares lengthened the interval of their reports.
test('reports of limits are as frequent with fair shares as without them', async () => {
  const countReports = async (hasShares: boolean): Promise<number> => {
    const rig = new UsageRig('a', hasShares, 60)
    rig.allowances.setOrganisations([SCHOOL])
    await runOverload(rig, 30_000, () => { rig.allowances.observeAdmitted(rig.allowances.claim('school', rig.now), rig.now) })
    return rig.sent.filter(({ to, report }) => to === 'b' && report.fleet !== undefined).length
  }
  const [without, withShares] = [await countReports(false), await countReports(true)]
  assert.ok(without > 30 && withShares >= without * 0.95, `${withShares} instead of ${without}`)
})

// Guards against shares that are out of force between two reports: they last for five seconds.
test('an aggregator of a zone of 60 hosts sends shares at least every three and a half seconds', async () => {
  const rig = new UsageRig('a', true, 60)
  await runOverload(rig, 30_000)
  const sent = rig.sent.filter(({ to, report }) => to === 'b' && (report.work?.shares?.snapshots.size ?? 0) > 0)
  assert.ok(sent.length >= 28 / 3.5, String(sent.length))
})

// Guards against a mixed fleet that stops: hosts that hold no shares, as those of the build before, get reports with work.
test('a host that holds no shares uses the rest of a report with work', () => {
  const rig = new UsageRig('c')
  rig.allowances.setOrganisations([SCHOOL])
  rig.allowances.claim('school', rig.now)
  const [hash] = rig.allowances.takeChangedTotals().keys() as unknown as [number]
  const fleet = { hosts: 8, unseenMs: 0, usageByOrganisation: new Map([[hash, { letThrough: 1_000, leavingPerSecond: 0, askedPerSecond: 200 }]]) }
  const work = { own: new Map(), zone: undefined, shares: { clockMs: 1, snapshots: new Map() } }
  rig.exchange.handleReport(makeReport({ fleet, work }), makeEntry('a', 'one').ip)
  assert.is(rig.allowances.claim('school', rig.now).allowedPart, 0)
})

// Guards against a host that exits: an error of one round rejected the exchange's promise, and the process ended.
test('an error of one round is logged, and the next round sends again', async () => {
  const rig = new UsageRig('c', true)
  rig.allowances.setOrganisations([SCHOOL])
  rig.allowances.claim('school', rig.now)
  rig.sendError = new Error('no route to host')
  await rig.runOnce()
  assert.equal(rig.errors.map(({ message }) => message), ['no route to host', 'no route to host'])
  rig.sendError = undefined
  rig.now += 1_000
  await rig.runOnce()
  assert.equal(rig.listReceivers(() => true), ['a', 'b'])
})

// Guards against priorities that reports can't hold: the configuration accepts any number.
test('shares with priorities that are negative or have fractions are sent', async () => {
  const rig = new UsageRig('a', true)
  const stop = new AbortController()
  const end = rig.now + 5_000
  rig.sleep = (ms) => {
    for (let request = 0; request < ms / 10; request += 1) {
      for (const organisationPriority of [1.5, -1]) {
        rig.shares?.decide({ service: 'balances', organisation: organisationPriority < 0 ? 11 : 12, organisationPriority, route: 1, routePriority: organisationPriority, requestHash: request, arrivedAt: rig.now, workMs: 100, remainingMs: 2_000, neededMs: 100 }, rig.now, 0.5)
        rig.shares?.observeOutcome('balances', 100, request % 3 === 0, request % 3 !== 0, rig.now)
      }
    }
    rig.now += ms
    if (rig.now >= end) stop.abort()
    return Promise.resolve()
  }
  await rig.exchange.run(stop.signal)
  assert.equal(rig.errors, [])
  const snapshots = rig.sent.flatMap(({ report }) => [...(report.work?.shares?.snapshots.values() ?? [])])
  assert.ok(snapshots.length > 0)
})

test('reports contain no keys', () => {
  const rig = new UsageRig('c')
  rig.allowances.setOrganisations([SCHOOL])
  rig.allowances.claim('school', rig.now)
  const bytes = encodeUsageReport(makeReport({ totals: rig.allowances.takeChangedTotals() }))
  assert.not.match(Buffer.from(bytes).toString('latin1'), /key-of|school/)
})

test.run()
