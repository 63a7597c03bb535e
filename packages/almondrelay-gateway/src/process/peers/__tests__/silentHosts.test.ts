import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FleetState } from '../../fleet/fleetState.js'
import type { HostEntry } from '../../fleet/hostEntry.js'
import { computeHostHash } from '../computeHostHash.js'
import type { PeerReport } from '../peerReport.js'
import { PeerView } from '../peerView.js'
import { makePosition } from '../../store/__fixtures__/makePosition.js'

const test = suite('PeerView, hosts that are silent')
const makeEntry = (name: string, region = 'wlg', incarnation = 'i1'): HostEntry => ({ name, incarnation, availabilityZone: `${region}-a`, region, ip: '10.0.0.1', callerPort: 1, peerPort: 2 })
const makeReport = (host: string, sequence: number, content: Partial<PeerReport>): PeerReport => ({ host, incarnation: 'i1', region: 'wlg', sequence, isLeaving: false, configurationVersion: 1, storePosition: makePosition(5), isRegional: false, declaredRevision: 0, notablePosition: makePosition(0), storeAgeMs: 0, inFlight: new Map(), requestLimits: [], leavingTargets: [], lostZones: [], silentHosts: [], changes: undefined, demands: [], ...content })

/** What the host `own` of the region wlg knows of its peers `a` and `b` there, and of `far` in another region. */
class Rig {
  readonly fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
  readonly view: PeerView
  private sequence = 0

  constructor (own = makeEntry('own')) {
    for (const entry of [makeEntry('own'), makeEntry('a'), makeEntry('b'), makeEntry('far', 'akl')]) this.fleet.putHost(entry)
    this.fleet.isComplete = true
    this.view = new PeerView(own, this.fleet)
    this.list(0)
  }

  list (now: number): string[] {
    return this.view.listLive(now).map(({ name }) => name).sort()
  }

  /** Receives a host's reports at its interval in a span of time, the last one included. */
  receive (host: string, from: number, to: number, intervalMs = host === 'far' ? 2_000 : 100): void {
    const region = host === 'far' ? 'akl' : 'wlg'
    for (let at = from; at <= to; at += intervalMs) this.receiveOne(host, at, { region, isRegional: region === 'akl' })
  }

  receiveOne (host: string, at: number, content: Partial<PeerReport> = {}): void {
    this.sequence += 1
    this.view.receiveReport(makeReport(host, this.sequence, content), at)
  }
}

// Guards against look-ups that name lost hosts because all others of the region are lost, and the lost ones' entries outlast an outage of
// the store.
test('hosts that fell silent while another region was heard are not listed', () => {
  const rig = new Rig()
  for (const name of ['a', 'b']) rig.receive(name, 0, 5_000)
  rig.receive('far', 1_000, 7_000)
  assert.equal(rig.list(7_900), ['a', 'b', 'far', 'own'])
  rig.receive('far', 9_000, 11_000)
  assert.equal(rig.list(11_100), ['far', 'own'])
  assert.equal(rig.list(60_000), ['far', 'own'], 'also when nobody is heard any more')
})

test('a list that was made in the silence changes with the next report of another region', () => {
  const rig = new Rig()
  for (const name of ['a', 'b']) rig.receive(name, 0, 5_000)
  rig.receive('far', 1_000, 7_000)
  assert.equal(rig.list(8_500), ['a', 'b', 'far', 'own'], 'the last word was heard two seconds after theirs')
  rig.receive('far', 9_000, 9_000)
  assert.equal(rig.list(9_000), ['far', 'own'])
})

// Guards against a host that was known to be lost and is listed again when the last other host of the region is lost too.
test('a host that fell silent while another one of its region was heard stays lost when that one is silent too', () => {
  const rig = new Rig()
  rig.receive('b', 0, 1_000)
  rig.receive('a', 0, 8_000)
  assert.equal(rig.list(8_000), ['a', 'far', 'own'])
  assert.equal(rig.list(30_000), ['a', 'far', 'own'])
})

// Guards against a host that is cut off from all others and drops the hosts that live from look-ups.
test('a host that hears nobody lists the hosts that it heard until then', () => {
  const rig = new Rig()
  for (const name of ['a', 'b', 'far']) rig.receive(name, 0, 10_000)
  for (const now of [10_500, 13_500, 40_000]) assert.equal(rig.list(now), ['a', 'b', 'far', 'own'])
})

test('reports of names without an entry are no sign that this host is heard', () => {
  const rig = new Rig()
  for (const name of ['a', 'b']) rig.receive(name, 0, 5_000)
  rig.receive('stranger', 5_000, 12_000)
  assert.equal(rig.list(12_000), ['a', 'b', 'far', 'own'])
})

test('a silent host that starts again is listed at once, and dropped again if it sends no report', () => {
  const rig = new Rig()
  for (const name of ['a', 'b']) rig.receive(name, 0, 5_000)
  rig.receive('far', 1_000, 9_000)
  assert.equal(rig.list(9_000), ['far', 'own'])
  rig.fleet.putHost(makeEntry('a', 'wlg', 'i2'))
  assert.equal(rig.list(9_500), ['a', 'far', 'own'])
  rig.receive('far', 11_000, 13_000)
  assert.equal(rig.list(13_000), ['far', 'own'])
  rig.receiveOne('a', 14_000, { incarnation: 'i2' })
  assert.equal(rig.list(14_000), ['a', 'far', 'own'])
})

// Guards against look-ups in other regions that name lost hosts: those hear of a region by its representatives only.
test('a host that its region reports as silent is not listed in other regions, until it starts again', () => {
  const there = new Rig()
  there.receive('a', 0, 5_000)
  const silentHosts = there.view.listSilentHosts(5_000)
  assert.is(silentHosts.length, 1, 'b')
  const rig = new Rig(makeEntry('far', 'akl'))
  rig.receiveOne('a', 5_000, { isRegional: true })
  assert.equal(rig.list(5_000), ['a', 'b', 'far', 'own'])
  rig.receiveOne('a', 7_000, { isRegional: true, silentHosts })
  rig.view.receiveSilentHosts(makeReport('a', 0, { isRegional: true, silentHosts }), 7_000)
  assert.equal(rig.list(7_000), ['a', 'far', 'own'])
  rig.fleet.putHost(makeEntry('b', 'wlg', 'i2'))
  assert.equal(rig.list(7_100), ['a', 'b', 'far', 'own'])
})

test('a report of silent hosts counts only while the region goes on reporting', () => {
  const silentHosts = [computeHostHash(makeEntry('b'))]
  const rig = new Rig(makeEntry('far', 'akl'))
  rig.view.receiveSilentHosts(makeReport('a', 1, { isRegional: true, silentHosts }), 7_000)
  assert.equal(rig.list(7_000), ['a', 'far', 'own'])
  assert.equal(rig.list(13_001), ['a', 'b', 'far', 'own'])
  rig.view.receiveSilentHosts(makeReport('a', 2, { isRegional: true, silentHosts: [] }), 14_000)
  assert.equal(rig.list(14_000), ['a', 'b', 'far', 'own'])
})

test.run()
