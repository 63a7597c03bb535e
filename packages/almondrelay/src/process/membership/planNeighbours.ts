import { chooseRing } from './chooseRing.js'
import type { Member } from './member.js'
import { MemberState } from './memberState.js'
import type { Neighbour } from './neighbour.js'

/**
 * Heartbeat interval on the chords of the zone's ring. The next hosts on either side detect a host's exit first, and
 * changes are sent over a chord at once anyway, so its heartbeats can be rare: one costs about a millisecond of
 * processor time at either end.
 */
const CHORD_INTERVAL_MS = 1_000
/** Interval to watchers of other zones of the region, and of other regions. */
const REGION_INTERVAL_MS = 1_000
const FAR_INTERVAL_MS = 2_000
/** Interval for each host of the zone, so that all hosts that aren't neighbours of a watcher send the two watchers three heartbeats a second in total. */
const WATCHER_INTERVAL_PER_HOST_MS = 340
/** Suspected hosts that still get heartbeats besides the live neighbours. */
const MAX_SUSPECTS = 4
/** Hosts without any report so far, or gone, that are probed at a time. */
const MAX_PROBES = 4

interface PlanInput {
  self: Member
  members: readonly Member[]
  heartbeatMs: number
  /** Hosts to probe, the one with the oldest failed attempt first. */
  probeCandidates: readonly Member[]
  chooseWatchers: (availabilityZone: string) => string[]
  /** Time of this host's last failed attempt to reach another. */
  getLastFailedAt: (host: string) => number
}

/**
 * Plans the peers to exchange heartbeats with: two adjacent ones and two farther ones by rank in the zone, a watcher of the
 * zone, and, for a watcher, watchers of at most four zones and four regions. No number here grows with the fleet.
 */
export function planNeighbours (input: PlanInput): Neighbour[] {
  const planned = new Map<string, Neighbour>()
  const add = (member: Member | undefined, intervalMs: number): void => {
    if (member === undefined || member.host === input.self.host || member.peerAddress === '') return
    const known = planned.get(member.host)
    if (known === undefined || known.intervalMs > intervalMs) planned.set(member.host, { host: member.host, peerAddress: member.peerAddress, intervalMs })
  }
  const zone = input.members.filter((member) => member.availabilityZone === input.self.availabilityZone)
  const { near, far } = chooseRing(zone.filter((member) => hasReported(member) || member.host === input.self.host).length)
  for (const member of chooseZoneNeighbours(input.self, zone, near)) add(member, input.heartbeatMs)
  for (const member of chooseZoneNeighbours(input.self, zone, far)) add(member, Math.max(input.heartbeatMs, CHORD_INTERVAL_MS))
  for (const member of input.probeCandidates.slice(0, MAX_PROBES)) add(member, REGION_INTERVAL_MS)

  const watchers = input.chooseWatchers(input.self.availabilityZone)
  const index = watchers.indexOf(input.self.host)
  if (index < 0) {
    const rank = zone.filter((member) => member.host < input.self.host).length
    const watcher = watchers[rank % Math.max(1, watchers.length)]
    add(zone.find((member) => member.host === watcher), Math.max(FAR_INTERVAL_MS, zone.length * WATCHER_INTERVAL_PER_HOST_MS))
    return [...planned.values()]
  }
  const findWatcher = (availabilityZone: string): Member | undefined => {
    const names = input.chooseWatchers(availabilityZone)
    const name = names[index] ?? names[0]
    return name === undefined ? chooseSuspect(input, availabilityZone) : input.members.find((member) => member.host === name)
  }
  for (const name of chooseRegionZones(input)) add(findWatcher(name), Math.max(input.heartbeatMs, REGION_INTERVAL_MS))
  for (const name of chooseFarZones(input)) add(findWatcher(name), Math.max(input.heartbeatMs, FAR_INTERVAL_MS))
  return [...planned.values()]
}

/** Chooses the first live host in each direction of the ring, and the suspected ones before it. */
function chooseZoneNeighbours (self: Member, zone: readonly Member[], offsets: readonly number[]): Member[] {
  const ring = zone.filter((member) => hasReported(member) || member.host === self.host).sort((a, b) => (a.host < b.host ? -1 : 1))
  const own = ring.findIndex((member) => member.host === self.host)
  const getAt = (index: number): Member | undefined => ring[((index % ring.length) + ring.length) % ring.length]
  const chosen = new Set<Member>()
  const suspects = new Set<Member>()
  for (const offset of offsets) {
    const step = offset > 0 ? 1 : -1
    for (let walked = 0; walked < ring.length; walked++) {
      const member = getAt(own + offset + step * walked)
      if (member === undefined || member.host === self.host) break
      if (member.state !== MemberState.suspected) {
        chosen.add(member)
        break
      }
      if (suspects.size < MAX_SUSPECTS) suspects.add(member)
    }
  }
  return [...chosen, ...suspects]
}

/**
 * Chooses, in a zone without a live host, the suspected host with the oldest failed attempt. Without it, the two sides of
 * a network partition, each of which suspects all hosts of the other, would never reconnect after the partition ends.
 */
function chooseSuspect (input: PlanInput, availabilityZone: string): Member | undefined {
  return input.members
    .filter((member) => member.availabilityZone === availabilityZone && member.state === MemberState.suspected)
    .sort((a, b) => input.getLastFailedAt(a.host) - input.getLastFailedAt(b.host) || (a.host < b.host ? -1 : 1))[0]
}

function chooseRegionZones (input: PlanInput): string[] {
  return chooseOthers(listZones(input, input.self.region), input.self.availabilityZone)
}

/** Chooses one zone of each neighbouring region: the one with the same rank as the own zone has in its region. */
function chooseFarZones (input: PlanInput): string[] {
  const rank = listZones(input, input.self.region).indexOf(input.self.availabilityZone)
  const regions = [...new Set(input.members.map((member) => member.region))].sort()
  return chooseOthers(regions, input.self.region).flatMap((region) => {
    const zone = listZones(input, region)[rank]
    return zone === undefined ? [] : [zone]
  })
}

function listZones (input: PlanInput, region: string): string[] {
  return [...new Set(input.members.filter((member) => member.region === region).map((member) => member.availabilityZone))].sort()
}

function chooseOthers (ring: readonly string[], self: string): string[] {
  const own = ring.indexOf(self)
  const { near, far } = chooseRing(ring.length)
  const chosen = [...near, ...far].map((offset) => ring[(((own + offset) % ring.length) + ring.length) % ring.length])
  return [...new Set(chosen)].filter((name): name is string => name !== undefined && name !== self)
}

const hasReported = (member: Member): boolean => member.state !== MemberState.unheard && member.state !== MemberState.gone
