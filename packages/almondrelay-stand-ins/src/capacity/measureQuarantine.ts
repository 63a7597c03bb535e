import { encodeSuspectReport, makeRequest, RequestFingerprint, SuspectTable } from 'almondrelay-gateway/testing'
import type { CapacitySection } from './capacitySection.js'
import { measureMs } from './measureMs.js'
import type { Point } from './point.js'

/** Bytes of a request's body. */
const BODIES = [0, 1_024, 65_536, 1_048_576, 16_777_216]
/** Targets that ended under one request. */
const ENDS = [1, 3, 24]
const DECISIONS = 1_000
const US_PER_MS = 1_000
const FINGERPRINT = 'ab'.repeat(16)
/** Hosts that get a report at the target size: two of each of 80 availability zones, and 58 of the own one. */
const RECEIVERS = 2 * 79 + 59
const DATAGRAM_OVERHEAD = 28

/** What a request costs while something is quarantined, and what the news of one end costs. */
export function measureQuarantine (): CapacitySection {
  const bodies = BODIES.map((bytes): Point => ({ x: bytes, y: measureFingerprint(bytes) }))
  const reports = ENDS.map((count): Point => ({ x: count, y: buildReport(count).byteLength }))
  const reportBytes = (reports[0]?.y ?? 0) + DATAGRAM_OVERHEAD
  return {
    title: 'Quarantine: one request, news of one end',
    slopes: [
      { what: 'fingerprint', xName: 'bytes of the body', unit: 'us', points: bodies },
      { what: 'one report', xName: 'targets that ended under the request', unit: 'bytes', points: reports }
    ],
    products: [
      { what: 'look whether a request is quarantined, nothing known', value: measureMatch(0), unit: 'us' },
      { what: 'look whether a request is quarantined, 1,000 others known', value: measureMatch(1_000), unit: 'us' },
      { what: 'news of one end to 4,800 hosts, three times', value: 3 * RECEIVERS * reportBytes / 1_000, unit: 'KB' }
    ]
  }
}

const measureFingerprint = (bytes: number): number => {
  const repeats = bytes > 100_000 ? 1 : DECISIONS
  const request = makeRequest({ body: Buffer.alloc(bytes, 1) })
  return measureMs(() => { for (let count = 0; count < repeats; count += 1) void new RequestFingerprint(request).text }) / repeats * US_PER_MS
}

const measureMatch = (known: number): number => {
  const table = new SuspectTable()
  for (let count = 0; count < known; count += 1) table.touch(count.toString(16).padStart(8, '0').padEnd(32, '0'), 'school', 0)
  const request = makeRequest({ body: Buffer.alloc(1_024) })
  return measureMs(() => { for (let count = 0; count < DECISIONS; count += 1) table.match(new RequestFingerprint(request)) }) / DECISIONS * US_PER_MS
}

const buildReport = (ends: number): Uint8Array => encodeSuspectReport({
  host: 'front-region00-zone00-01',
  incarnation: '1790000000000-12345',
  passesOn: true,
  suspects: [{ fingerprint: FINGERPRINT, organisation: 'school-of-the-north', ended: Array.from({ length: ends }, (_, index) => Math.imul(index + 1, 0x9e3779b1) >>> 0), cleared: [] }]
})
