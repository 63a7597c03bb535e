import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import { FleetState } from '../../fleet/fleetState.js'
import type { HostEntry } from '../../fleet/hostEntry.js'
import type { RelayedChanges } from '../../fleet/relayedChanges.js'
import type { ForwardState } from '../../forward/forwardState.js'
import { decodeLoad } from '../__fixtures__/decodeLoad.js'
import { encodeLoadReport } from '../encodeLoadReport.js'
import { PeerExchange } from '../peerExchange.js'
import { computeHostHash } from '../computeHostHash.js'
import type { PeerReport } from '../peerReport.js'
import type { PeerSocket } from '../peerSocket.js'
import { PeerView } from '../peerView.js'
import type { StorePosition } from '../../store/storePosition.js'
import { makePosition } from '../../store/__fixtures__/makePosition.js'

const test = suite('PeerExchange')
const ADDRESS = '10.0.0.2'
const CHANGES = { after: makePosition(4), upTo: makePosition(6), events: [{ kind: 'deleted' as const, key: 'k', revision: 5 }], forwardTo: [] }

const makeEntry = (name: string, region = 'akl'): HostEntry => ({ name, incarnation: 'i1', availabilityZone: `${region}-a`, region, ip: ADDRESS, callerPort: 1, peerPort: 2 })
const makeReport = (host: string, sequence: number, content: Partial<PeerReport> = {}): PeerReport => ({ host, incarnation: 'i1', region: 'akl', sequence, isLeaving: false, configurationVersion: 1, storePosition: makePosition(5), isRegional: false, declaredRevision: 0, notablePosition: makePosition(0), storeAgeMs: 0, inFlight: new Map(), demands: [], requestLimits: [], leavingTargets: [], lostZones: [], silentHosts: [], changes: undefined, ...content })

/** One host in a fleet. Records the reports that it sends, and the reports and changes that it accepts from watchers. */
class ExchangeRig {
  readonly fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  readonly sent: PeerReport[] = []
  readonly watched: PeerReport[] = []
  readonly accepted: RelayedChanges[] = []
  readonly positions: StorePosition[] = []
  /** Times at which the store answered peers, as they report. */
  readonly storeContacts: number[] = []
  readonly view: PeerView
  readonly exchange: PeerExchange

  constructor () {
    const own = makeEntry('own')
    for (const entry of [own, makeEntry('a'), makeEntry('b'), makeEntry('c'), makeEntry('far', 'wlg')]) this.fleet.putHost(entry)
    this.fleet.isComplete = true
    this.view = new PeerView(own, this.fleet)
    const socket = { send: (bytes: Uint8Array) => { this.sent.push(decodeLoad(bytes) as PeerReport) } } as unknown as PeerSocket
    this.exchange = new PeerExchange({
      own,
      fleet: this.fleet,
      forward: { listRuntimes: () => [] } as unknown as ForwardState,
      listLostZones: () => [],
      view: this.view,
      socket,
      getNow: () => 0,
      sleep: () => Promise.resolve(),
      isLeaving: () => false,
      getDeclaredRevision: () => 0,
      receivePosition: (position) => { this.positions.push(position) },
      observeStoreContact: (at) => { this.storeContacts.push(at) },
      acceptRelayedChanges: (changes) => { this.accepted.push(changes) },
      receiveWatcherReport: (report) => { this.watched.push(report) }
    })
  }

  receive (report: PeerReport, ip = ADDRESS): void {
    this.exchange.handleReport(decodeLoad(encodeLoadReport(report)) as PeerReport, ip)
  }
}

// Guards against counts that are never reset. A peer's requests end at one target and others begin at another; only targets in the new
// or the previous report are visited. A stale count would make a free target look full for as long as the process runs.
test('a report replaces all counts of the previous report', () => {
  const rig = new ExchangeRig()
  const targets = ['1', '2', '3'].map((id, index) => makeTarget({ id, port: index + 1 }))
  for (const { entry } of targets) rig.fleet.putTarget(entry, 0)
  const count = (id: string): number => rig.fleet.findTarget(id)?.countOutstanding(0) ?? -1
  const findHash = (id: string): number => rig.fleet.findTarget(id)?.incarnationHash ?? 0
  rig.receive(makeReport('a', 1, { inFlight: new Map([[findHash('1'), 3], [findHash('2'), 1]]) }))
  rig.receive(makeReport('b', 1, { inFlight: new Map([[findHash('1'), 2]]) }))
  assert.equal(['1', '2', '3'].map(count), [5, 1, 0])
  rig.receive(makeReport('a', 2, { inFlight: new Map([[findHash('2'), 4], [findHash('3'), 1]]) }))
  assert.equal(['1', '2', '3'].map(count), [2, 4, 1])
  rig.receive(makeReport('a', 1, { inFlight: new Map([[findHash('1'), 9]]) }))
  assert.equal(['1', '2', '3'].map(count), [2, 4, 1], 'an older report')
})

test('counts for the previous incarnation don\'t apply to a target that was restarted', () => {
  const rig = new ExchangeRig()
  const { entry } = makeTarget({ id: '1', incarnation: 1 })
  rig.fleet.putTarget(entry, 0)
  const before = rig.fleet.findTarget('1')?.incarnationHash ?? 0
  rig.fleet.putTarget({ ...entry, incarnation: 2 }, 0)
  rig.receive(makeReport('a', 1, { inFlight: new Map([[before, 3]]) }))
  assert.is(rig.fleet.findTarget('1')?.countOutstanding(0), 0)
})

// Guards against forged reports: anybody can send to the port, and changes of the store decide where every request is sent. They are
// accepted only from a watcher of the region, of its current incarnation and from an address of one of the region's hosts.
test('a watcher\'s report is accepted only from addresses of its region and of its current incarnation', () => {
  const rig = new ExchangeRig()
  for (const name of ['a', 'b', 'c']) rig.receive(makeReport(name, 1))
  rig.watched.length = 0
  rig.receive(makeReport('a', 2), '10.9.9.9')
  rig.receive(makeReport('a', 3, { incarnation: 'i2' }))
  rig.receive(makeReport('c', 2))
  rig.receive(makeReport('stranger', 2))
  assert.equal(rig.watched, [])
  rig.receive(makeReport('a', 4))
  assert.equal(rig.watched.map(({ host }) => host), ['a'])
})

// Guards against forged reports by which look-ups would name no host of another region.
test('silent hosts of another region are accepted only from a host of that region', () => {
  const rig = new ExchangeRig()
  const lost = makeEntry('lost', 'wlg')
  rig.fleet.putHost(lost)
  const isListed = (): boolean => rig.view.listLive(0).some(({ name }) => name === 'lost')
  const report = { region: 'wlg', isRegional: true, silentHosts: [computeHostHash(lost)] }
  rig.receive(makeReport('far', 1, report), '10.9.9.9')
  rig.receive(makeReport('far', 2, { ...report, incarnation: 'i2' }))
  rig.receive(makeReport('a', 1, report))
  rig.receive(makeReport('stranger', 1, report))
  assert.ok(isListed())
  rig.receive(makeReport('far', 3, report))
  assert.not(isListed())
})

// Guards against forged reports of an era that the store never reaches, for which every host would ask the store again and again.
test('the position in a report is accepted only from the sender\'s address', () => {
  const rig = new ExchangeRig()
  const storePosition = { era: 900, revision: 1 }
  rig.receive(makeReport('a', 1, { storePosition, notablePosition: storePosition }), '10.9.9.9')
  rig.receive(makeReport('stranger', 1, { storePosition, notablePosition: storePosition }))
  assert.equal(rig.positions, [])
  assert.equal(rig.storeContacts, [])
  rig.receive(makeReport('b', 1, { storePosition: makePosition(7) }))
  assert.equal(rig.positions, [makePosition(7)])
  rig.receive(makeReport('c', 1, { incarnation: 'i2', storePosition: makePosition(8) }))
  assert.equal(rig.positions, [makePosition(7), makePosition(8)], 'a host that was started again, whose entry this host has not received')
})

// Guards against a watcher that fills its own link. When a thousand targets' entries arrive at once and the watcher sends them to each of
// 64 hosts itself, its calls to the store get no bandwidth. One host of each group forwards them to the rest of its group.
test('changes reach every host of the region once, through one host of each group', () => {
  const rig = new ExchangeRig()
  for (let index = 0; index < 30; index += 1) rig.fleet.putHost(makeEntry(`near-${index}`))
  rig.exchange.relay(CHANGES)
  assert.is(rig.sent.length, 5)
  const passedOn = rig.sent.flatMap((report) => report.changes?.forwardTo ?? [])
  assert.is(passedOn.length + rig.sent.length, 33)
  assert.is(new Set(passedOn).size, passedOn.length)
  assert.not(passedOn.some((name) => name === 'own' || name === 'far'))
})

test('a host accepts changes and forwards them to the hosts that the watcher names', () => {
  const rig = new ExchangeRig()
  for (const name of ['a', 'b']) rig.receive(makeReport(name, 1))
  rig.receive(makeReport('a', 2, { changes: { ...CHANGES, forwardTo: ['b', 'c', 'unknown'] } }))
  assert.is(rig.accepted.length, 1)
  assert.is(rig.sent.length, 2)
  for (const report of rig.sent) assert.equal(report.changes, CHANGES)
  rig.receive(makeReport('a', 1, { changes: CHANGES }))
  assert.is(rig.accepted.length, 2, 'changes that arrived after a newer report')
  rig.receive(makeReport('c', 2, { changes: { ...CHANGES, forwardTo: ['b'] } }))
  assert.is(rig.accepted.length, 2, 'from a host that does not watch')
  assert.is(rig.sent.length, 2)
})

// Guards against hosts that learn only with the next round of reports, after a second, that they have to request a large change themselves.
test('a large change is announced to every host of the region at once, whether it can be relayed or not', () => {
  const rig = new ExchangeRig()
  Object.assign(rig.fleet, { storePosition: makePosition(6), notablePosition: makePosition(6) })
  const relay = (numbers: number): Array<[boolean, StorePosition]> => {
    rig.sent.length = 0
    const value = Buffer.from(Array.from({ length: numbers }, (_, index) => index * 7_919 % 65_537).join(' '))
    rig.exchange.relay({ ...CHANGES, events: [{ kind: 'written', item: { key: 'configuration', value, revision: 6, createdRevision: 1 } }] })
    return rig.sent.map(({ changes, notablePosition }) => [changes !== undefined, notablePosition])
  }
  const announcements = ['a', 'b', 'c'].map(() => [false, makePosition(6)])
  assert.equal(relay(9_000), [[true, makePosition(6)], ...announcements])
  assert.equal(relay(40_000), announcements)
  rig.sent.length = 0
  rig.exchange.relay(CHANGES)
  assert.equal(rig.sent.map(({ changes }) => changes?.upTo), [makePosition(6)])
})

test.run()
