import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FleetState } from '../../fleet/fleetState.js'
import type { HostEntry } from '../../fleet/hostEntry.js'
import { decodeLoad } from '../__fixtures__/decodeLoad.js'
import { encodeReport } from '../encodeReport.js'
import type { PeerReport } from '../peerReport.js'
import { PeerView } from '../peerView.js'

const test = suite('PeerView')
const makeEntry = (name: string): HostEntry => ({ name, incarnation: 'i1', availabilityZone: 'akl-a', region: 'akl', ip: '10.0.0.1', callerPort: 1, peerPort: 2 })
const makeReport = (host: string, sequence: number, isLeaving = false): PeerReport => ({ host, incarnation: 'i1', region: 'akl', sequence, isLeaving, configurationVersion: 1, storeRevision: 5, isRegional: false, declaredRevision: 0, notableRevision: 0, storeAgeMs: 0, inFlight: new Map([[7, 3]]), changes: undefined, demands: [] })

const build = (): PeerView => {
  const fleet = new FleetState({ targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  for (const name of ['own', 'a', 'b']) fleet.putHost(makeEntry(name))
  fleet.isComplete = true
  return new PeerView(makeEntry('own'), fleet)
}
const listNames = (view: PeerView, now: number): string[] => view.listLive(now).map(({ name }) => name)

// Anybody may send reports under names of their own, each a new one: none is taken for a host, and memory stays bounded.
test('reports of names that have no entry make no host and no end of memory', () => {
  const view = build()
  view.hear(makeReport('a', 1), 0)
  for (let index = 0; index < 12_000; index += 1) view.hear(makeReport(`stranger-${index}`, 1), 0)
  view.hear(makeReport('b', 1), 0)
  assert.equal(listNames(view, 10), ['own', 'a', 'b'])
  assert.ok(view.countHeard() <= 10_000, `${view.countHeard()} senders are remembered`)
})

// Both hosts that watch the store for their region are cut off from it, or die. The others must notice before the time
// within which a target that leaves must be known, and ask the store themselves.
test('watchers are relied on while one of them was heard and confirmed lately, in regions of many hosts', () => {
  const fleet = new FleetState({ targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'own']
  for (const name of names) fleet.putHost(makeEntry(name))
  const view = new PeerView(makeEntry('own'), fleet)
  const hear = (name: string, sequence: number, storeAgeMs: number, now: number) => view.hear({ ...makeReport(name, sequence), storeAgeMs }, now)
  const isReliable = (now: number) => view.hasReliableWatchers(2_500, now)
  assert.not(isReliable(0), 'nobody was heard')
  for (const name of names) hear(name, 1, 1_000, 0)
  assert.ok(isReliable(400))
  // Half a second of the bound is left for asking: a look each 0.2 s and a call over two trips of 55 ms.
  assert.not(isReliable(1_000), 'both silent for too long')
  hear('c', 2, 0, 1_100)
  assert.not(isReliable(1_100), 'a host that does not watch')
  hear('b', 2, 0, 1_100)
  assert.ok(isReliable(1_100))
  hear('a', 2, 4_000, 1_300)
  hear('b', 3, 4_000, 1_300)
  assert.not(isReliable(1_300), 'both cut off from the store')
  fleet.removeHost('g')
  hear('b', 4, 0, 1_400)
  assert.not(isReliable(1_400), 'few hosts: each watches')
})

// Hosts are cut off from the store for twelve seconds; after four their leases end and their entries go, though their callers
// stay with them. Taken for gone, they leave the whole of an organisation's limit to the others, and use their part besides.
test('a host whose entry goes without its leave may still serve; one that took its leave or came back does not count twice', () => {
  const fleet = new FleetState({ targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: (entry) => { view.observeGone(entry, 1_000) } })
  const view = new PeerView(makeEntry('own'), fleet)
  for (const name of ['own', 'cut', 'leaving']) fleet.putHost(makeEntry(name))
  assert.is(view.countPossibleHosts(0), 3)
  view.hear(makeReport('leaving', 1, true), 500)
  fleet.removeHost('leaving')
  fleet.removeHost('cut')
  assert.is(view.countPossibleHosts(1_000), 2)
  assert.is(view.countPossibleHosts(25_000), 2)
  fleet.putHost(makeEntry('cut'))
  assert.is(view.countPossibleHosts(25_000), 2)
  fleet.removeHost('cut')
  assert.is(view.countPossibleHosts(40_000), 1, 'gone for longer than any cut that was seen')
})

test('hosts that know the same hosts name the same two of each zone to sum up', () => {
  const fleet = new FleetState({ targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  const view = new PeerView(makeEntry('c'), fleet)
  for (const name of ['d', 'c', 'b', 'a']) fleet.putHost(makeEntry(name))
  view.hear(makeReport('a', 1, true), 0)
  const zone = makeEntry('a').availabilityZone
  assert.equal(view.listSumming(zone, 0).map(({ name }) => name), ['b', 'c'])
  assert.ok(view.isSumming(0))
})

// Both watchers of a region hand on every change: each host gets all of them twice. The second one only stands in.
test('one watcher hands changes on, the second where the first is silent or cut off from the store', () => {
  const view = build()
  for (const name of ['a', 'b']) view.hear(makeReport(name, 1), 0)
  assert.not(view.isRelay(1_000), 'the first of the region is heard')
  assert.ok(view.isRelay(2_600), 'it has gone silent')
  view.hear({ ...makeReport('a', 2), storeAgeMs: 4_000 }, 2_700)
  assert.ok(view.isRelay(2_700), 'it does not reach the store')
  view.hear(makeReport('a', 3), 2_800)
  assert.not(view.isRelay(2_800))
  view.hear(makeReport('a', 4, true), 2_900)
  view.hear(makeReport('b', 2, true), 2_900)
  assert.ok(view.isRelay(2_900), 'this host is the first')
})

// A host is killed; its entry stands until its lease lapses, or as long as the store is away. A look-up
// that names it sends callers into nothing.
test('a host that has gone silent is not named while others are heard', () => {
  const view = build()
  view.hear(makeReport('a', 1), 0)
  view.hear(makeReport('b', 1), 0)
  assert.equal(listNames(view, 100), ['own', 'a', 'b'])
  view.hear(makeReport('a', 2), 4_000)
  assert.equal(listNames(view, 4_000), ['own', 'a'])
})

test('a host that hears nobody goes by the entries: it is the one that is cut off', () => {
  const view = build()
  view.hear(makeReport('a', 1), 0)
  assert.equal(listNames(view, 60_000), ['own', 'a', 'b'])
})

test('a host that says that it leaves is not named from then on', () => {
  const view = build()
  view.hear(makeReport('a', 1), 0)
  view.hear(makeReport('b', 1, true), 0)
  assert.equal(listNames(view, 10), ['own', 'a'])
})

test('an older report never replaces a newer one', () => {
  const view = build()
  assert.ok(view.hear(makeReport('a', 2), 0))
  assert.not(view.hear(makeReport('a', 1, true), 5))
  assert.ok(listNames(view, 10).includes('a'))
})

test('hosts of other regions count by their entries, and speak through two of theirs', () => {
  const view = build()
  const far = { ...makeReport('far', 1), region: 'wlg', isRegional: true, demands: [{ service: 's', perSecond: 40, warmMs: 100, coldMs: 300, parts: new Map() }] }
  assert.ok(view.hear(far, 0))
  view.hear({ ...makeReport('a', 1), demands: [{ service: 's', perSecond: 3, warmMs: 90, coldMs: 300, parts: new Map([['akl', 1]]) }] }, 0)
  assert.equal(view.listDemands(10).map(({ region, demand }) => [region, demand.perSecond]), [['akl', 3], ['wlg', 40]])
  assert.equal(view.listDemands(10_000), [])
})

test('two hosts of a region speak for it; a host that hears nobody speaks for itself', () => {
  const view = build()
  assert.ok(view.isSpeaker(0))
  view.hear(makeReport('a', 1), 0)
  view.hear(makeReport('b', 1), 0)
  assert.not(view.isSpeaker(0), 'a and b come first by name')
})

test('a report reads as it was written, and other bytes are none', () => {
  const report = { ...makeReport('a', 3), demands: [{ service: 's', perSecond: 2, warmMs: 64, coldMs: 300, parts: new Map([['akl', 0.5]]) }] }
  assert.equal(decodeLoad(encodeReport(report)), report)
  assert.is(decodeLoad(Buffer.from('nonsense')), undefined)
})

test.run()
