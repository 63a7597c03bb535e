import { create, toBinary } from '@bufbuild/protobuf'
import { ExchangeRequestSchema, SenderSchema } from 'almondrelay-protocol'
import { Membership } from '../../process/membership/membership.js'
import type { Summary } from '../../process/membership/summary.js'
import { computeRefreshLength } from './computeRefreshLength.js'
import { computeRefreshMs } from './computeRefreshMs.js'
import { encodeSummary } from './encodeSummary.js'
import { PROTOCOL_VERSION } from '../../process/dispatch/protocolVersion.js'

/** HTTP/2 and Connect framing of one exchange, in both directions, as measured at a socket; see docs/design/membership.md. */
const FRAMING_BYTES = 102
/** Time between two calls of a host to a watcher that isn't its planned neighbour, for each host of the zone. */
const VISIT_INTERVAL_PER_HOST_MS = 340
const INCARNATION = 1_790_000_000_000

interface FleetSize {
  regions: number
  zonesPerRegion: number
  hostsPerZone: number
  /** Number of services whose load a summary contains. */
  services: number
}

interface ExchangeCost {
  neighbours: number
  exchangesPerSecond: number
  /** Size of a message without updates; `refreshBytes` is the size of the summaries that a refresh adds. */
  heartbeatBytes: number
  refreshBytes: number
  /** Bytes sent plus bytes received, without TCP and IP headers. */
  bytesPerSecond: number
}

/** Computes the bytes that heartbeats cost a watcher of a zone, which has the most peers, in a fleet without changes. */
export function measureExchangeBytes (size: FleetSize): ExchangeCost {
  const hosts = listHosts(size)
  const [self, ...others] = hosts
  if (self === undefined) throw new Error('the fleet has no hosts')
  const membership = new Membership({ self, heartbeatMs: 250, suspectAfterMs: 1_000 })
  for (const other of others) membership.observeSummary(other, 1)
  const plan = membership.planNeighbours(1)
  const planned = new Set(plan.map((neighbour) => neighbour.host))
  const visitors = others.filter((other) => other.availabilityZone === self.availabilityZone && !planned.has(other.host)).length
  const visitIntervalMs = Math.max(2_000, size.hostsPerZone * VISIT_INTERVAL_PER_HOST_MS)
  const rates = [...plan.map((neighbour) => 1_000 / neighbour.intervalMs), ...Array.from({ length: Math.ceil(visitors / 2) }, () => 1_000 / visitIntervalMs)]
  const heartbeatBytes = encodeMessage(self, 0)
  const refreshBytes = encodeMessage(self, 1 + computeRefreshLength(plan.length)) - heartbeatBytes
  const exchangesPerSecond = computeSum(rates)
  const refreshes = computeSum(rates.map((rate) => Math.min(rate, 1_000 / computeRefreshMs(plan.length))))
  const bytesPerSecond = exchangesPerSecond * (2 * heartbeatBytes + FRAMING_BYTES) + refreshes * 2 * refreshBytes
  return { neighbours: plan.length, exchangesPerSecond, heartbeatBytes, refreshBytes, bytesPerSecond: Math.round(bytesPerSecond) }
}

function encodeMessage (self: Summary, summaries: number): number {
  const { host, availabilityZone, region } = self
  const sender = create(SenderSchema, { host, availabilityZone, region, incarnation: BigInt(INCARNATION), protocolVersion: PROTOCOL_VERSION })
  const hosts = Array.from({ length: summaries }, () => encodeSummary(self))
  return toBinary(ExchangeRequestSchema, create(ExchangeRequestSchema, { sender, revision: BigInt(self.revision), hosts })).length
}

function listHosts (size: FleetSize): Summary[] {
  const loads = Array.from({ length: size.services }, (_, index) => ({ service: `service${index}`, freeSlots: 20, running: 76 }))
  const hosts: Summary[] = []
  for (let region = 0; region < size.regions; region++) {
    for (let zone = 0; zone < size.zonesPerRegion; zone++) {
      for (let host = 0; host < size.hostsPerZone; host++) hosts.push(makeHost(`r${10 + region}`, `r${10 + region}-z${10 + zone}`, host, loads))
    }
  }
  return hosts
}

function makeHost (region: string, availabilityZone: string, index: number, loads: Summary['loads']): Summary {
  const address = `10.128.100.${100 + index}:8080`
  return {
    host: `${availabilityZone}-${100 + index}`,
    incarnation: INCARNATION,
    availabilityZone,
    region,
    callerAddress: address,
    peerAddress: address,
    revision: 1_000_000,
    isLeaving: false,
    isGone: false,
    isSilent: false,
    ageMs: 900,
    loads
  }
}

const computeSum = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0)
