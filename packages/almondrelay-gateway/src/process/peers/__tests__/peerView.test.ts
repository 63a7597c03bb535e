import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FleetState } from '../../fleet/fleetState.js'
import type { HostEntry } from '../../fleet/hostEntry.js'
import { decodeLoad } from '../__fixtures__/decodeLoad.js'
import { encodeLoadReport } from '../encodeLoadReport.js'
import type { PeerReport } from '../peerReport.js'
import { PeerView } from '../peerView.js'
import { makePosition } from '../../store/__fixtures__/makePosition.js'

const test = suite('PeerView')
const makeEntry = (name: string): HostEntry => ({ name, incarnation: 'i1', availabilityZone: 'akl-a', region: 'akl', ip: '10.0.0.1', callerPort: 1, peerPort: 2 })
const makeReport = (host: string, sequence: number, isLeaving = false): PeerReport => ({ host, incarnation: 'i1', region: 'akl', sequence, isLeaving, configurationVersion: 1, storePosition: makePosition(5), isRegional: false, declaredRevision: 0, notablePosition: makePosition(0), storeAgeMs: 0, inFlight: new Map([[7, 3]]), requestLimits: [], leavingTargets: [], lostZones: [], silentHosts: [], changes: undefined, demands: [] })

const build = (): PeerView => {
  const fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  for (const name of ['own', 'a', 'b']) fleet.putHost(makeEntry(name))
  fleet.isComplete = true
  return new PeerView(makeEntry('own'), fleet)
}
const listNames = (view: PeerView, now: number): string[] => view.listLive(now).map(({ name }) => name)

// Guards against unbounded memory: anybody can send reports, each under a new name.
test('reports under names without an entry add no host, and their number in memory is bounded', () => {
  const view = build()
  view.receiveReport(makeReport('a', 1), 0)
  for (let index = 0; index < 12_000; index += 1) view.receiveReport(makeReport(`stranger-${index}`, 1), 0)
  view.receiveReport(makeReport('b', 1), 0)
  assert.equal(listNames(view, 10), ['own', 'a', 'b'])
  assert.ok(view.countKnownSenders() <= 10_000, `${view.countKnownSenders()} senders are kept`)
})

// Guards against missed changes when both watchers of a region exit or are cut off from the store. The other hosts must notice this,
// and still have time to ask the store, before the bound within which a target that leaves must be known.
test('hosts rely on watchers while one of them has reported and was confirmed recently, in large regions', () => {
  const fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'own']
  for (const name of names) fleet.putHost(makeEntry(name))
  const view = new PeerView(makeEntry('own'), fleet)
  const receive = (name: string, sequence: number, storeAgeMs: number, now: number) => view.receiveReport({ ...makeReport(name, sequence), storeAgeMs }, now)
  const isReliable = (now: number) => view.hasReliableWatchers(2_500, now)
  assert.not(isReliable(0), 'no reports yet')
  for (const name of names) receive(name, 1, 1_000, 0)
  assert.ok(isReliable(400))
  // Half a second of the bound is left for asking the store: a check every 0.2 s and a call over two trips of 55 ms each.
  assert.not(isReliable(1_000), 'no report from either for too long')
  receive('c', 2, 0, 1_100)
  assert.not(isReliable(1_100), 'a host that does not watch')
  receive('b', 2, 0, 1_100)
  assert.ok(isReliable(1_100))
  receive('a', 2, 4_000, 1_300)
  receive('b', 3, 4_000, 1_300)
  assert.not(isReliable(1_300), 'both cut off from the store')
  fleet.storePosition = { era: 2, revision: 1 }
  receive('a', 3, 0, 1_350)
  receive('b', 4, 0, 1_350)
  assert.not(isReliable(1_350), 'both have not noticed that the store has returned from a copy')
  fleet.storePosition = makePosition(1)
  assert.ok(isReliable(1_350))
  // Guards against hosts that wait for changes of watchers which were started again, and whose entries are among these changes.
  view.receiveReport({ ...makeReport('a', 1), incarnation: 'i2' }, 1_360)
  view.receiveReport({ ...makeReport('b', 1), incarnation: 'i2' }, 1_360)
  assert.not(isReliable(1_360), 'both of an unknown incarnation')
  receive('a', 6, 0, 1_370)
  assert.ok(isReliable(1_370))
  fleet.removeHost('g')
  receive('b', 5, 0, 1_400)
  assert.not(isReliable(1_400), 'few hosts: each watches')
})

// Guards against exceeding an organisation's limit while hosts are cut off from the store. In a cut of twelve seconds their leases end
// and their entries are removed after four, but they keep their callers. If they counted as exited, the others would use the whole
// limit, and they their share in addition.
test('a host whose entry is removed without an announcement still counts; one that announced its leave or came back does not count twice', () => {
  const fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: (entry) => { view.observeEntryRemoved(entry, 1_000) } })
  const view = new PeerView(makeEntry('own'), fleet)
  for (const name of ['own', 'cut', 'leaving']) fleet.putHost(makeEntry(name))
  assert.is(view.countPossibleHosts(0), 3)
  view.receiveReport(makeReport('leaving', 1, true), 500)
  fleet.removeHost('leaving')
  fleet.removeHost('cut')
  assert.is(view.countPossibleHosts(1_000), 2)
  assert.is(view.countPossibleHosts(25_000), 2)
  fleet.putHost(makeEntry('cut'))
  assert.is(view.countPossibleHosts(25_000), 2)
  fleet.removeHost('cut')
  assert.is(view.countPossibleHosts(40_000), 1, 'lost for longer than any observed cut')
})

test('hosts that know the same hosts choose the same two aggregators of each zone', () => {
  const fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  const view = new PeerView(makeEntry('c'), fleet)
  for (const name of ['d', 'c', 'b', 'a']) fleet.putHost(makeEntry(name))
  view.receiveReport(makeReport('a', 1, true), 0)
  const zone = makeEntry('a').availabilityZone
  assert.equal(view.listAggregators(zone, 0).map(({ name }) => name), ['b', 'c'])
  assert.ok(view.isAggregator(0))
})

// Guards against relaying every change twice, once by each of the two watchers.
test('the first watcher relays changes; the second does so if the first sends no reports or is cut off from the store', () => {
  const view = build()
  for (const name of ['a', 'b']) view.receiveReport(makeReport(name, 1), 0)
  assert.not(view.isRelay(1_000), 'the first watcher has reported recently')
  assert.ok(view.isRelay(2_600), 'the first watcher has stopped reporting')
  view.receiveReport({ ...makeReport('a', 2), storeAgeMs: 4_000 }, 2_700)
  assert.ok(view.isRelay(2_700), 'the first watcher does not reach the store')
  view.receiveReport(makeReport('a', 3), 2_800)
  assert.not(view.isRelay(2_800))
  view.receiveReport(makeReport('a', 4, true), 2_900)
  view.receiveReport(makeReport('b', 2, true), 2_900)
  assert.ok(view.isRelay(2_900), 'this host is the first')
})

// Guards against look-ups that direct callers to a killed host. Its entry remains until its lease lapses, or for as long as the store
// is unavailable.
test('a host that has stopped reporting is not listed while other hosts report', () => {
  const view = build()
  view.receiveReport(makeReport('a', 1), 0)
  view.receiveReport(makeReport('b', 1), 0)
  assert.equal(listNames(view, 100), ['own', 'a', 'b'])
  view.receiveReport(makeReport('a', 2), 4_000)
  assert.equal(listNames(view, 4_000), ['own', 'a'])
})

// Guards against lists that are kept for too long: a killed host must be dropped at the moment at which its silence is too long, and come
// back with its first report. The lists are otherwise kept, because every report, request and look-up asks for them.
test('the list of live hosts is kept until a host falls silent, reports again or restarts', () => {
  const view = build()
  assert.equal(listNames(view, 0), ['own', 'a', 'b'])
  view.receiveReport(makeReport('a', 1), 4_000)
  view.receiveReport(makeReport('b', 1), 4_500)
  const first = view.listLive(4_500)
  view.receiveReport(makeReport('b', 2), 6_000)
  assert.is(view.listLive(7_000), first)
  assert.equal(listNames(view, 7_001), ['own', 'b'])
  assert.equal(listNames(view, 9_000), ['own', 'b'])
  view.receiveReport(makeReport('a', 2), 9_000)
  assert.equal(listNames(view, 9_000), ['own', 'a', 'b'])
  assert.equal(listNames(view, 9_001), ['own', 'a'])
  assert.equal(listNames(view, 12_001), ['own', 'a', 'b'], 'cut off')
  view.receiveReport(makeReport('a', 3, true), 12_100)
  assert.equal(listNames(view, 12_100), ['own'])
  view.receiveReport({ ...makeReport('a', 1, true), incarnation: 'i2' }, 12_200)
  assert.equal(listNames(view, 12_200), ['own', 'a'], 'another incarnation than that of the entry announced that it leaves')
})

// Guards against a new host that counts as live for ever by its entry alone.
test('a new entry counts as live for three seconds without a report', () => {
  const fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  for (const name of ['own', 'a']) fleet.putHost(makeEntry(name))
  const view = new PeerView(makeEntry('own'), fleet)
  assert.equal(listNames(view, 0), ['own', 'a'])
  view.receiveReport(makeReport('a', 1), 1_000)
  fleet.putHost(makeEntry('new'))
  assert.equal(listNames(view, 1_000), ['own', 'a', 'new'])
  view.receiveReport(makeReport('a', 2), 3_500)
  assert.equal(listNames(view, 4_000), ['own', 'a', 'new'])
  assert.equal(listNames(view, 4_001), ['own', 'a'])
})

test('a host that receives no reports lists hosts by their entries, as it is probably cut off itself', () => {
  const view = build()
  view.receiveReport(makeReport('a', 1), 0)
  assert.equal(listNames(view, 60_000), ['own', 'a', 'b'])
})

test('a host that announces that it leaves is no longer listed', () => {
  const view = build()
  view.receiveReport(makeReport('a', 1), 0)
  view.receiveReport(makeReport('b', 1, true), 0)
  assert.equal(listNames(view, 10), ['own', 'a'])
})

test('an older report never replaces a newer one', () => {
  const view = build()
  assert.ok(view.receiveReport(makeReport('a', 2), 0))
  assert.not(view.receiveReport(makeReport('a', 1, true), 5))
  assert.ok(listNames(view, 10).includes('a'))
})

test('the demand of another region is taken from its regional report', () => {
  const view = build()
  const far = { ...makeReport('far', 1), region: 'wlg', isRegional: true, demands: [{ service: 's', perSecond: 40, warmMs: 100, coldMs: 300, parts: new Map() }] }
  assert.ok(view.receiveReport(far, 0))
  view.receiveReport({ ...makeReport('a', 1), demands: [{ service: 's', perSecond: 3, warmMs: 90, coldMs: 300, parts: new Map([['akl', 1]]) }] }, 0)
  assert.equal(view.listDemands(10).map(({ region, demand }) => [region, demand.perSecond]), [['akl', 3], ['wlg', 40]])
  assert.equal(view.listDemands(10_000), [])
  view.receiveReport({ ...makeReport('b', 1), isRegional: true, demands: far.demands }, 10_000)
  assert.equal(view.listDemands(10_000), [], 'the regional demand of this host\'s own region is not that of the sender')
})

test('a region has two representatives; a host that receives no reports acts as one', () => {
  const view = build()
  assert.ok(view.isRepresentative(0))
  view.receiveReport(makeReport('a', 1), 0)
  view.receiveReport(makeReport('b', 1), 0)
  assert.not(view.isRepresentative(0), 'a and b come first by name')
})

test('a report decodes to what was encoded, and invalid bytes are rejected', () => {
  const report = { ...makeReport('a', 3), demands: [{ service: 's', perSecond: 2, warmMs: 64, coldMs: 300, parts: new Map([['akl', 0.5]]) }] }
  assert.equal(decodeLoad(encodeLoadReport(report)), report)
  assert.is(decodeLoad(Buffer.from('nonsense')), undefined)
})

test.run()
