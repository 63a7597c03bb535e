import { createHash } from 'node:crypto'
import { deflateRawSync } from 'node:zlib'
import { create, fromBinary } from '@bufbuild/protobuf'
import { LoadReportSchema, PeerDatagramSchema } from 'almondrelay-protocol'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decodeLoad } from '../__fixtures__/decodeLoad.js'
import { encodeDatagram } from '../encodeDatagram.js'
import { encodeLoadReport } from '../encodeLoadReport.js'
import type { PeerReport } from '../peerReport.js'
import { splitChanges } from '../splitChanges.js'
import { makePosition } from '../../store/__fixtures__/makePosition.js'

const test = suite('decodeLoadReport')
const SEED = 20_261_203
const encode = (demand: object): Uint8Array => encodeDatagram({ case: 'load', value: create(LoadReportSchema, { host: 'a', region: 'akl', demands: [{ service: 's', perSecond: 1, warmMs: 1, parts: [], ...demand }] }) })

test('arbitrary bytes decode to a report or to nothing, and never throw', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), (bytes) => {
    const report = decodeLoad(bytes)
    return report === undefined || report.host.length > 0
  }), { seed: SEED, numRuns: 2_000 })
})

test('a report that was corrupted on the way decodes to a valid report or to nothing', () => {
  const whole = encode({ parts: [{ region: 'akl', part: 1 }] })
  fc.assert(fc.property(fc.nat(whole.length - 1), fc.nat(255), fc.nat(whole.length), (place, value, length) => {
    const bytes = Uint8Array.from(whole)
    bytes[place] = value
    const report = decodeLoad(bytes.subarray(0, length))
    return report === undefined || report.demands.every(({ perSecond }) => Number.isFinite(perSecond) && perSecond >= 0)
  }), { seed: SEED, numRuns: 2_000 })
})

// Guards against invalid rates, as anybody can send to the port. A demand with an infinite request rate would move every key of a
// region at once.
test('a report with a number that is not finite, or is negative, is rejected', () => {
  for (const perSecond of [NaN, Infinity, -1]) assert.is(decodeLoad(encode({ perSecond })), undefined)
  assert.is(decodeLoad(encode({ parts: [{ region: 'akl', part: NaN }] })), undefined)
  assert.ok(decodeLoad(encode({})) !== undefined)
})

// Guards against a call to the store from every host at each change of the configuration. A configuration with 80 organisations has 24
// KB, which is too long for a datagram; it was not relayed, and each of a region's 25 hosts asked the store for it.
test('a long value is relayed compressed and decodes to what was encoded', () => {
  const organisations = Array.from({ length: 80 }, (_, index) => ({ name: `organisation-${index}`, keys: [createHash('sha1').update(String(index)).digest('hex').slice(0, 20)], priority: 1, ratePerSecond: 20, burst: 20 }))
  const value = Buffer.from(JSON.stringify({ organisations, routes: Array.from({ length: 40 }, (_, index) => ({ name: `r-${index}`, idempotent: true, targetLatencyMs: 316, pathPrefix: `/p${index}/` })) }))
  const events = [{ kind: 'written' as const, item: { key: 'configuration', revision: 5, createdRevision: 1, value } }]
  const parts = splitChanges({ after: makePosition(4), upTo: makePosition(6), events, forwardTo: [] }, 8_000)
  assert.ok(value.byteLength > 8_000)
  assert.equal(parts.map(({ events: each }) => each), [events])
  const plain = decodeLoad(encode({}))
  if (plain === undefined) throw new Error('no report')
  const bytes = encodeLoadReport({ ...plain, changes: parts[0] })
  assert.ok(bytes.byteLength < 8_000)
  assert.equal(decodeLoad(bytes)?.changes?.events, events)
})

// Guards against decompression bombs, as anybody can send to the port: 8 KB that decompress to gigabytes would crash the host.
test('a report is rejected if its compressed value is invalid, or decompresses to more than the store accepts', () => {
  const isReport = (value: Uint8Array): boolean => decodeLoad(encodeDatagram({ case: 'load', value: create(LoadReportSchema, { host: 'a', region: 'akl', changes: { afterRevision: 4, upToRevision: 5, changes: [{ key: 'k', revision: 5, createdRevision: 5, value, deflated: true }] } }) })) !== undefined
  assert.ok(isReport(deflateRawSync(Buffer.alloc(1_000))))
  assert.not(isReport(Buffer.from('nonsense that is no such stream')))
  assert.not(isReport(deflateRawSync(Buffer.alloc(4 * 1024 * 1024))))
})

test('changes of the store decode to what was encoded', () => {
  const changes = {
    after: makePosition(4),
    upTo: makePosition(9),
    events: [
      { kind: 'written' as const, item: { key: 'target/1', value: Buffer.from('{}'), revision: 5, createdRevision: 2 } },
      { kind: 'deleted' as const, key: 'target/2', revision: 8 }
    ],
    forwardTo: ['b', 'c']
  }
  const plain = decodeLoad(encode({}))
  if (plain === undefined) throw new Error('no report')
  assert.equal(decodeLoad(encodeLoadReport({ ...plain, changes }))?.changes, changes)
})

test('a change that is sent as a difference decodes to what was encoded, in a field that earlier builds ignore', () => {
  const event = { kind: 'patched' as const, key: 'configuration', revision: 7, createdRevision: 2, patch: { baseRevision: 5, hash: 0xfedcba98, steps: Uint8Array.from([1, 2, 3]) } }
  const changes = { after: makePosition(6), upTo: makePosition(9), events: [event], forwardTo: ['b'] }
  const plain = decodeLoad(encode({}))
  if (plain === undefined) throw new Error('no report')
  const bytes = encodeLoadReport({ ...plain, changes })
  assert.equal(decodeLoad(bytes)?.changes, changes)
  const { content } = fromBinary(PeerDatagramSchema, bytes)
  assert.is(content.case === 'load' && content.value.changes, undefined)
})

// Guards against decreasing revisions, with which a host would treat changes as known that it never received.
test('a report is rejected if the revisions of its changes decrease or don\'t fit its range', () => {
  const isReport = (changes: object): boolean => decodeLoad(encodeDatagram({ case: 'load', value: create(LoadReportSchema, { host: 'a', region: 'akl', changes }) })) !== undefined
  const change = { key: 'k', revision: 5, deleted: true }
  assert.ok(isReport({ afterRevision: 4, upToRevision: 5, changes: [change] }))
  assert.not.ok(isReport({ afterRevision: 6, upToRevision: 7, changes: [change] }))
  assert.not.ok(isReport({ afterRevision: 4, upToRevision: 4, changes: [change] }))
  assert.not.ok(isReport({ afterRevision: 4, upToRevision: NaN, changes: [] }))
  assert.not.ok(isReport({ afterRevision: 1, upToRevision: 9, changes: [change, { ...change, revision: 3 }] }))
})

// Guards against a revision that the store never reaches: every host would ask the store for it again and again.
test('a report with a revision that is not a safe integer of zero or more is rejected', () => {
  for (const revision of [NaN, Infinity, -1, 0.5, 1e300]) {
    for (const field of ['storeRevision', 'notableRevision', 'declaredRevision']) {
      assert.is(decodeLoad(encodeDatagram({ case: 'load', value: create(LoadReportSchema, { host: 'a', region: 'akl', [field]: revision }) })), undefined, `${field}: ${revision}`)
    }
  }
})

const arbitraryText = fc.string({ unit: 'grapheme', minLength: 1, maxLength: 60 })
const arbitraryHash = fc.nat(0xffffffff)
const arbitraryAmount = fc.float({ min: 0, max: 1e6, noNaN: true }).map((value) => Math.abs(value))
const PLAIN = { noNullPrototype: true }
const arbitraryPosition = fc.record({ era: fc.nat(0xffffffff), revision: fc.maxSafeNat() }, PLAIN)
const arbitraryEvent = fc.record({ key: arbitraryText, value: fc.option(fc.uint8Array({ maxLength: 1_500 })), createdRevision: fc.maxSafeNat() })
const arbitraryReport: fc.Arbitrary<PeerReport> = fc.record({
  host: arbitraryText,
  incarnation: fc.string(),
  region: arbitraryText,
  sequence: fc.nat(0xffffffff),
  isLeaving: fc.boolean(),
  configurationVersion: fc.nat(0xffffffff),
  storePosition: arbitraryPosition,
  notableRevision: fc.maxSafeNat(),
  storeAgeMs: fc.nat(3_600_000),
  declaredRevision: fc.maxSafeNat(),
  isRegional: fc.boolean(),
  inFlight: fc.array(fc.tuple(arbitraryHash, fc.nat(0xffffffff))).map((entries) => new Map(entries)),
  demands: fc.array(fc.record({ service: fc.string(), perSecond: arbitraryAmount, warmMs: arbitraryAmount, coldMs: arbitraryAmount, parts: fc.array(fc.tuple(fc.string(), arbitraryAmount), { maxLength: 4 }).map((entries) => new Map(entries)) }, PLAIN), { maxLength: 4 }),
  requestLimits: fc.array(fc.record({ incarnationHash: arbitraryHash, perSecond: fc.oneof(fc.constant(Infinity), fc.double({ min: 0.001, max: 1e9, noNaN: true })), ageMs: fc.nat(0xffffffff) }, PLAIN), { maxLength: 4 }),
  leavingTargets: fc.array(arbitraryHash),
  lostZones: fc.array(arbitraryHash),
  silentHosts: fc.array(arbitraryHash),
  changes: fc.option(fc.record({ era: fc.nat(0xffffffff), after: fc.nat(1_000), events: fc.array(arbitraryEvent, { maxLength: 5 }), forwardTo: fc.array(arbitraryText, { maxLength: 8 }) }), { nil: undefined })
}).map(({ notableRevision, changes, ...report }) => ({
  ...report,
  notablePosition: { era: report.storePosition.era, revision: notableRevision },
  changes: changes === undefined
    ? undefined
    : {
        after: { era: changes.era, revision: changes.after },
        upTo: { era: changes.era, revision: changes.after + changes.events.length },
        events: changes.events.map(({ key, value, createdRevision }, index) => value === null
          ? { kind: 'deleted' as const, key, revision: changes.after + index }
          : { kind: 'written' as const, item: { key, revision: changes.after + index, createdRevision, value: Buffer.from(value) } }),
        forwardTo: changes.forwardTo
      }
}))

// Guards against a field that is read differently from how the protobuf library, and so every earlier build, writes it.
test('every report decodes to what the protobuf library encoded', () => {
  fc.assert(fc.property(arbitraryReport, (report) => { assert.equal(decodeLoad(encodeLoadReport(report)), report) }), { seed: SEED, numRuns: 500 })
})

// Guards against hosts that understand only reports of their own build: a later one adds fields, and protobuf allows lists without packing.
test('unknown fields are ignored, also in nested messages and after the report, and lists may come unpacked', () => {
  const unknown = [0xf8, 0x07, 0x96, 0x01, 0xf2, 0x07, 0x02, 0x61, 0x62, 0xf5, 0x07, 1, 2, 3, 4, 0xf1, 0x07, 1, 2, 3, 4, 5, 6, 7, 8]
  const makeField = (tag: number, bytes: readonly number[]): number[] => [tag, bytes.length, ...bytes]
  const report = [...makeField(10, [0x61]), ...unknown, ...makeField(26, [0x62]), 61, 1, 0, 0, 0, 64, 3, 61, 2, 0, 0, 0, 64, 4, 141, 1, 9, 0, 0, 0, ...makeField(74, [...makeField(10, [0x73]), ...unknown, ...makeField(34, [...makeField(10, [0x63]), ...unknown])])]
  const decoded = decodeLoad(Uint8Array.from([10, report.length, ...report, ...unknown]))
  assert.is(decoded?.host, 'a')
  assert.is(decoded?.region, 'b')
  assert.equal(decoded?.inFlight, new Map([[1, 3], [2, 4]]))
  assert.equal(decoded?.leavingTargets, [9])
  assert.equal(decoded?.demands, [{ service: 's', perSecond: 0, warmMs: 0, coldMs: 0, parts: new Map([['c', 0]]) }])
})

// Guards against reading beyond a report that was cut off, or whose nested lengths are false.
test('a report that ends early is rejected', () => {
  const whole = encode({ parts: [{ region: 'akl', part: 1 }] })
  for (let length = 0; length < whole.length; length += 1) assert.is(decodeLoad(whole.subarray(0, length)), undefined, `${length} bytes`)
  assert.ok(decodeLoad(whole) !== undefined)
})

test.run()
