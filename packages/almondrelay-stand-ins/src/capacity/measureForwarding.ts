import { chooseTarget, decodeDatagram, encodeLoadReport, makeRoute, makeTarget, RouteTable } from 'almondrelay-gateway/testing'
import type { CapacitySection } from './capacitySection.js'
import { measureMs } from './measureMs.js'
import type { Point } from './point.js'

/** Targets of one service in one region. */
const TARGETS = [16, 64, 267, 1_024]
const ROUTES = [10, 100, 1_000, 10_000]
/** Decisions in one measurement, so that the clock's grain doesn't count. */
const DECISIONS = 1_000
const US_PER_MS = 1_000
/** Targets at which one host has requests at the same moment. */
const BUSY_TARGETS = [5, 20, 80]
const REPORT_BUDGET_BYTES = 9_000
const DATAGRAM_OVERHEAD = 28

/** Time of the decisions for one request, and bytes of the reports between hosts. */
export function measureForwarding (): CapacitySection {
  const choices = TARGETS.map((count): Point => ({ x: count, y: measureChoice(count) }))
  const routes = ROUTES.map((count): Point => ({ x: count, y: measureRouting(count) }))
  const reports = BUSY_TARGETS.map((count): Point => ({ x: count, y: buildReport(count).byteLength }))
  const reading = BUSY_TARGETS.map((count): Point => ({ x: count, y: measureReading(count) }))
  const reportBytes = (reports[1]?.y ?? 0) + DATAGRAM_OVERHEAD
  return {
    title: 'Forwarding: decisions for one request, reports between hosts',
    slopes: [
      { what: 'choice of a target', xName: 'targets of the service', unit: 'us', points: choices },
      { what: 'finding a route', xName: 'routes', unit: 'us', points: routes },
      { what: 'one report', xName: 'targets with requests of the host', unit: 'bytes', points: reports },
      { what: 'reading one report', xName: 'targets with requests of the host', unit: 'us', points: reading }
    ],
    products: [
      { what: 'reports a second that a host can send within its bytes, 20 busy targets', value: REPORT_BUDGET_BYTES / reportBytes, unit: '1/s' },
      { what: 'pause between reports to 228 peers of a region', value: 228 * reportBytes / REPORT_BUDGET_BYTES, unit: 's' }
    ]
  }
}

const measureChoice = (count: number): number => {
  const targets = Array.from({ length: count }, (_, index) => makeTarget({ id: `i-${index}`, port: index, slots: 6 }))
  return measureMs(() => {
    for (let decision = 0; decision < DECISIONS; decision += 1) {
      chooseTarget(targets, {
        now: 0,
        keyHash: Math.imul(decision, 0x9e3779b1) >>> 0,
        homeRegion: 'akl',
        findRoundTripMs: () => 2,
        warmMs: 100,
        coldMs: 300,
        meanMs: 120,
        targetLatencyMs: 250,
        isEligible: () => true,
        allowCold: () => false,
        allowSend: () => true,
        isLimited: () => false,
        isWarmUpRequest: false,
        canSpill: true
      })
    }
  }) / DECISIONS * US_PER_MS
}

const measureRouting = (count: number): number => {
  const table = new RouteTable(Array.from({ length: count }, (_, index) => makeRoute({ name: `r-${index}`, hostName: `h${index % 10}.example`, pathPrefix: `/p${index}/` })))
  return measureMs(() => { for (let decision = 0; decision < DECISIONS; decision += 1) table.findRoute('h3.example', `/p${decision % count}/a/b`) }) / DECISIONS * US_PER_MS
}

const buildReport = (busyTargets: number): Uint8Array => encodeLoadReport({
  host: 'front-region00-zone00-01',
  incarnation: '1790000000000-12345',
  region: 'region00',
  sequence: 100_000,
  isLeaving: false,
  configurationVersion: 100_000,
  storePosition: { era: 1, revision: 1_000_000 },
  notablePosition: { era: 1, revision: 1_000_000 },
  storeAgeMs: 500,
  isRegional: false,
  declaredRevision: 0,
  inFlight: new Map(Array.from({ length: busyTargets }, (_, index) => [Math.imul(index + 1, 0x9e3779b1) >>> 0, 1 + index % 3])),
  requestLimits: [],
  leavingTargets: [],
  lostZones: [],
  silentHosts: [],
  changes: undefined,
  demands: []
})

const measureReading = (busyTargets: number): number => {
  const bytes = buildReport(busyTargets)
  return measureMs(() => { for (let decision = 0; decision < DECISIONS; decision += 1) decodeDatagram(bytes) }) / DECISIONS * US_PER_MS
}
