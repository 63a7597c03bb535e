import { createHash } from 'node:crypto'
import { deflateRawSync } from 'node:zlib'
import { create } from '@bufbuild/protobuf'
import { LoadReportSchema } from 'almondrelay-protocol'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decodeLoad } from '../__fixtures__/decodeLoad.js'
import { encodeDatagram } from '../encodeDatagram.js'
import { encodeLoadReport } from '../encodeLoadReport.js'
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

test.run()
