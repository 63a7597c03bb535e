import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { makeWrite } from '../../../process/configuration/__fixtures__/makeWrite.js'
import { FakeFleet } from '../__fixtures__/fakeFleet.js'

const never = new AbortController().signal
const ZONES = ['akl-a', 'akl-b', 'wlg-a']

async function startFleet (zones: readonly string[], hostsPerZone: number): Promise<FakeFleet> {
  const fleet = new FakeFleet()
  fleet.startZones(zones, hostsPerZone)
  await fleet.clock.advance(5_000)
  return fleet
}

const listHostsNotAt = (fleet: FakeFleet, revision: number): string[] => [...fleet.hosts.values()].filter((host) => host.store.current.revision !== revision).map((host) => host.host)

test('hosts find each other, become ready and carry a change to every host within a second', async () => {
  const fleet = await startFleet(ZONES, 3)
  assert.ok([...fleet.hosts.values()].every((host) => host.store.isReady))
  await fleet.getHost('wlg-a-03').changeLog.submit(makeWrite('w1', 'akl'), never)
  await fleet.clock.advance(1_000)
  assert.equal(listHostsNotAt(fleet, 1), [])
  for (const viewer of fleet.hosts.keys()) for (const host of fleet.hosts.keys()) assert.is(fleet.getState(viewer, host), 'live', `${viewer} sees ${host}`)
  fleet.stopAll()
})

// An operator applies a change and waits until status shows that it is in force everywhere. The host that
// serves the status could wait too long for reports of hosts with which it has no exchange.
test('a host of a fleet of twelve knows within 5 s that every host has a change', async () => {
  const fleet = await startFleet([...ZONES, 'wlg-b', 'chc-a', 'chc-b'], 2)
  await fleet.getHost('wlg-a-02').changeLog.submit(makeWrite('w1', 'akl'), never)
  await fleet.clock.advance(5_000)
  for (const viewer of fleet.hosts.values()) {
    const laggingHosts = viewer.membership.listMembers(fleet.clock.getNow()).filter((member) => member.revision < 1).map((member) => member.host)
    assert.equal(laggingHosts, [], viewer.host)
  }
  fleet.stopAll()
})

// A host's process ends, and its callers wait until its neighbours have detected it. Its address refuses
// connections, so the neighbours must declare it gone within a second, and so must every other host.
test('a dead process is known as gone within a second of virtual time', async () => {
  const fleet = await startFleet(ZONES, 3)
  fleet.killHost('akl-a-02')
  await fleet.clock.advance(1_000)
  for (const viewer of ['akl-a-01', 'akl-a-03', 'akl-b-01', 'wlg-a-03']) assert.is(fleet.getState(viewer, 'akl-a-02'), 'gone', viewer)
  fleet.stopAll()
})

// A process is paused for a minute and resumes. While it is paused its kernel accepts connections. If the
// other hosts declared it gone, they would free what it holds, and it would still hold it after resuming.
test('a frozen process is only suspected, and live again after it wakes', async () => {
  const fleet = await startFleet(ZONES, 3)
  fleet.getHost('akl-a-02').endpoint.isFrozen = true
  fleet.network.isDropped = (from) => from === 'akl-a-02'
  await fleet.clock.advance(60_000)
  for (const viewer of ['akl-a-01', 'akl-a-03', 'akl-b-01', 'wlg-a-01']) assert.is(fleet.getState(viewer, 'akl-a-02'), 'suspected', viewer)
  fleet.getHost('akl-a-02').endpoint.isFrozen = false
  fleet.network.isDropped = () => false
  await fleet.clock.advance(5_000)
  for (const viewer of ['akl-a-01', 'akl-b-01', 'wlg-a-01']) assert.is(fleet.getState(viewer, 'akl-a-02'), 'live', viewer)
  const gone = [...fleet.hosts.values()].flatMap((host) => host.events).filter((event) => event.kind === 'gone')
  assert.equal(gone, [])
  fleet.stopAll()
})

// A host makes a planned stop and announces that it is gone, but answers heartbeats until its process
// ends. The other hosts refused its answers, took their own refusal for one by the peer, and stopped too, one
// after the other, in the whole fleet (seen with ten real processes).
test('a host that announces its end stops no other host', async () => {
  const fleet = await startFleet(ZONES, 2)
  fleet.getHost('akl-a-01').membership.updateSelf({ isGone: true })
  await fleet.clock.advance(5_000)
  for (const host of fleet.hosts.values()) {
    if (host.host === 'akl-a-01') continue
    assert.equal(host.refusals, [], host.host)
    assert.is(fleet.getState(host.host, 'akl-a-01'), 'gone')
  }
  fleet.stopAll()
})

// Packets from one host to another are lost, and those in the other direction arrive. The host whose packets
// are lost would go on sending work to the other one, because it still receives messages from it.
test('a host is suspected by a peer that can not reach it, though its messages arrive', async () => {
  for (const [from, to] of [['akl-a-01', 'akl-a-02'], ['akl-a-02', 'akl-a-01']] as const) {
    const fleet = await startFleet(ZONES, 3)
    fleet.network.isCallDropped = (caller, callee) => caller === from && callee === to
    await fleet.clock.advance(8_000)
    assert.is(fleet.getState(from, to), 'suspected', `${from} to ${to}`)
    for (const viewer of ['akl-a-03', 'akl-b-01', 'wlg-a-01']) assert.is(fleet.getState(viewer, to), 'live', viewer)
    fleet.network.isCallDropped = () => false
    await fleet.clock.advance(5_000)
    assert.is(fleet.getState(from, to), 'live')
    fleet.stopAll()
  }
})

// A firewall between two zones refuses connections in place of live hosts for a while. Each side took that for the
// end of the other's processes; when the firewall rule was removed, each refused the other as declared gone, and every host
// on both sides stopped.
test('refused connections between zones end no live host', async () => {
  const fleet = await startFleet(ZONES, 2)
  const isInZone = (host: string): boolean => host.startsWith('wlg-a')
  fleet.network.isRejected = (from, to) => isInZone(from) !== isInZone(to)
  await fleet.clock.advance(10_000)
  assert.is(fleet.getState('akl-a-01', 'wlg-a-01'), 'suspected')
  fleet.network.isRejected = () => false
  await fleet.clock.advance(10_000)
  for (const host of fleet.hosts.values()) assert.equal(host.refusals, [], host.host)
  for (const viewer of fleet.hosts.keys()) for (const host of fleet.hosts.keys()) assert.is(fleet.getState(viewer, host), 'live', `${viewer} sees ${host}`)
  fleet.stopAll()
})

// Both watchers of a zone end one after the other. The zone must still receive changes: the
// next hosts by rank become watchers.
test('watchers that die are replaced', async () => {
  const fleet = await startFleet(['akl-a'], 4)
  const getWatchers = () => fleet.getHost('akl-a-04').membership.chooseWatchers('akl-a', fleet.clock.getNow())
  assert.equal(getWatchers(), ['akl-a-01', 'akl-a-02'])
  fleet.killHost('akl-a-01')
  await fleet.clock.advance(1_000)
  fleet.killHost('akl-a-02')
  await fleet.clock.advance(1_000)
  assert.equal(getWatchers(), ['akl-a-03', 'akl-a-04'])
  await fleet.getHost('akl-a-04').changeLog.submit(makeWrite('w1', 'akl'), never)
  await fleet.clock.advance(1_000)
  assert.is(fleet.getHost('akl-a-03').store.current.revision, 1)
  fleet.stopAll()
})

// The platform is down for a long time. Hosts continue to serve, and one is replaced: the new process
// must not serve before it has the configuration, and gets it from a peer of its zone.
test('a host that restarts during an outage takes the configuration from a peer', async () => {
  const fleet = await startFleet(ZONES, 2)
  await fleet.getHost('akl-a-01').changeLog.submit(makeWrite('w1', 'akl'), never)
  await fleet.clock.advance(2_000)
  fleet.platform.faults.outage = true
  await fleet.clock.advance(60_000)
  fleet.killHost('akl-a-02')
  await fleet.clock.advance(1_000)
  const restarted = fleet.startHost('akl-a-02', ['akl-a-01'])
  assert.is(restarted.store.isReady, false)
  await fleet.clock.advance(5_000)
  assert.is(restarted.store.isReady, true)
  assert.is(restarted.store.current.revision, 1)
  assert.is(fleet.getState('wlg-a-01', 'akl-a-02'), 'live')
  fleet.platform.faults.outage = false
  await fleet.clock.advance(10_000)
  await restarted.changeLog.submit(makeWrite('w2', 'wlg'), never)
  await fleet.clock.advance(1_000)
  assert.equal(listHostsNotAt(fleet, 2), [])
  fleet.stopAll()
})

test('a host alone in an outage is not ready until the platform answers', async () => {
  const fleet = new FakeFleet()
  fleet.platform.faults.outage = true
  const { store } = fleet.startHost('akl-a-01', [])
  await fleet.clock.advance(60_000)
  assert.is(store.isReady, false)
  fleet.platform.faults.outage = false
  await fleet.clock.advance(10_000)
  assert.is(store.isReady, true)
  fleet.stopAll()
})

// A zone can't reach the platform, and its watches report nothing. Its hosts would serve an old
// configuration indefinitely if heartbeats did not state the revision and changes were not fetched from peers.
test('a zone that is cut from the platform gets changes from the other zones', async () => {
  const fleet = await startFleet(ZONES, 2)
  fleet.disconnectedFromPlatform.add('akl-b-01').add('akl-b-02')
  for (let index = 1; index <= 5; index++) await fleet.getHost('wlg-a-01').changeLog.submit(makeWrite(`w${index}`, `r${index}`), never)
  await fleet.clock.advance(2_500)
  assert.equal(listHostsNotAt(fleet, 5), [])
  fleet.stopAll()
})

// A zone is disconnected from the platform and all other zones, misses changes, and is reconnected. In the meantime it
// must continue to serve and other zones must suspect its hosts; its revision must never go back and must be current afterwards.
test('a zone that is disconnected from all others continues to serve and catches up', async () => {
  const fleet = await startFleet(ZONES, 2)
  await fleet.getHost('akl-a-01').changeLog.submit(makeWrite('w1', 'akl'), never)
  await fleet.clock.advance(2_000)
  const isInZone = (host: string) => host.startsWith('akl-b')
  fleet.network.isDropped = (from, to) => isInZone(from) !== isInZone(to)
  fleet.disconnectedFromPlatform.add('akl-b-01').add('akl-b-02')
  await fleet.getHost('akl-a-01').changeLog.submit(makeWrite('w2', 'wlg'), never)
  await fleet.clock.advance(20_000)
  assert.is(fleet.getHost('akl-b-01').store.current.revision, 1)
  assert.is(fleet.getState('akl-b-01', 'akl-b-02'), 'live')
  assert.is(fleet.getState('wlg-a-02', 'akl-b-01'), 'suspected')
  fleet.network.isDropped = () => false
  fleet.disconnectedFromPlatform.clear()
  await fleet.clock.advance(10_000)
  assert.equal(listHostsNotAt(fleet, 2), [])
  for (const host of fleet.hosts.values()) assert.equal(host.revisions, [...host.revisions].sort((a, b) => a - b))
  fleet.stopAll()
})

// A target reports that it is leaving to the only host that probes it. Every host must know
// within 3 s, so that it stops sending work to the target.
test('a leaving target is known to every host within 3 s', async () => {
  const fleet = await startFleet(ZONES, 3)
  fleet.getHost('akl-a-03').leavingTargets.observe({ service: 'balances', target: 't1', isLeaving: true, ageMs: 0 }, fleet.clock.getNow())
  fleet.getHost('akl-a-03').hub.wakeExchanges()
  await fleet.clock.advance(3_000)
  for (const host of fleet.hosts.values()) assert.ok(host.leavingTargets.isLeaving('balances', 't1'), host.host)
  fleet.stopAll()
})

test.run()
