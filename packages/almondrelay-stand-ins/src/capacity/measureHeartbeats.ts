import { FakeClock } from 'almondrelay/testing'
import type { CapacitySection } from './capacitySection.js'
import { HeartbeatPair } from './heartbeatPair.js'
import { makeMembership } from './makeMembership.js'
import type { Point } from './point.js'
import { targetSize } from './targetSize.js'

const HOSTS_IN_ZONE = [2, 15, 30, 60]
const ZONES = [1, 10, 20, 80]
const HEARTBEAT_MS = 250
/** Exchanges that are measured: 20 s of heartbeats. */
const MEASURED = 80
/** News in one message. */
const NEWS_A_MESSAGE = 8

/** Bytes of a heartbeat and its answer on the wire, with HTTP/2, and what a host's neighbours come to. */
export async function measureHeartbeats (): Promise<CapacitySection> {
  const byHosts = await measureAll(HOSTS_IN_ZONE.map((hostsInZone) => ({ hostsInZone, zones: 1, x: hostsInZone })))
  const byZones = await measureAll(ZONES.map((zones) => ({ hostsInZone: 4, zones, x: zones })))
  const bytes = byHosts.at(-1)?.y ?? 0
  const plain = countExchanges(30)
  const watcher = countExchanges(0)
  return {
    title: 'Heartbeats in quiet times',
    slopes: [
      { what: 'an exchange, both directions, at 4 a second', xName: 'hosts of the zone', unit: 'bytes', points: byHosts },
      { what: 'an exchange, both directions, at 4 a second', xName: 'zones, 4 hosts each', unit: 'bytes', points: byZones },
      { what: 'exchanges a second of a host that does not watch', xName: 'hosts of the zone', unit: '1/s', points: HOSTS_IN_ZONE.map((hosts) => ({ x: hosts, y: countExchanges(Math.floor(hosts / 2), hosts) })) }
    ],
    products: [
      { what: 'bytes a second of a host that does not watch, 60 hosts to a zone', value: bytes * plain, unit: 'bytes/s', limit: targetSize.controlBytesPerSecond },
      { what: 'bytes a second of a watcher', value: bytes * (watcher + countVisits()), unit: 'bytes/s', limit: targetSize.controlBytesPerSecond }
    ]
  }
}

const measureAll = async (shapes: ReadonlyArray<{ hostsInZone: number, zones: number, x: number }>): Promise<Point[]> => {
  const points: Point[] = []
  for (const { x, ...shape } of shapes) points.push({ x, y: await measureExchange(shape) })
  return points
}

const measureExchange = async (shape: { hostsInZone: number, zones: number }): Promise<number> => {
  const clock = new FakeClock()
  const pair = new HeartbeatPair({ ...shape, regions: Math.min(shape.zones, targetSize.regions), peer: 1, clock })
  const exchange = await pair.open()
  const exchangeTimes = async (times: number): Promise<void> => {
    for (let count = 0; count < times; count += 1) {
      await clock.advance(HEARTBEAT_MS)
      await exchange()
    }
  }
  // First everything that each knows goes to the other, eight hosts a message; then it is quiet.
  await exchangeTimes(10 + Math.ceil(shape.hostsInZone * shape.zones / NEWS_A_MESSAGE))
  const before = pair.bytes
  await exchangeTimes(MEASURED)
  const bytes = (pair.bytes - before) / MEASURED
  await pair.close()
  return bytes
}

// Exchanges that a host's own plan asks for; of a pair with the same plan one exchange serves both.
const countExchanges = (self: number, hostsInZone: number = targetSize.hostsInZone): number => {
  const { membership } = makeMembership({ hostsInZone, zones: targetSize.availabilityZones, regions: targetSize.regions }, self, 0)
  return membership.planNeighbours(100).reduce((sum, neighbour) => sum + 1_000 / neighbour.intervalMs, 0)
}

// A watcher hears half of the hosts of its zone, each as often as that host's plan says.
const countVisits = (): number => {
  const { membership } = makeMembership({ hostsInZone: targetSize.hostsInZone, zones: 1, regions: 1 }, 30, 0)
  const slowest = Math.max(...membership.planNeighbours(100).map((neighbour) => neighbour.intervalMs))
  return targetSize.hostsInZone / 2 * 1_000 / slowest
}
