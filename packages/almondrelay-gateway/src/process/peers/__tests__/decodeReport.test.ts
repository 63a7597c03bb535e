import { createHash } from 'node:crypto'
import { deflateRawSync } from 'node:zlib'
import { create } from '@bufbuild/protobuf'
import { LoadReportSchema } from 'almondrelay-protocol'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decodeLoad } from '../__fixtures__/decodeLoad.js'
import { encodeDatagram } from '../encodeDatagram.js'
import { encodeReport } from '../encodeReport.js'
import { splitChanges } from '../splitChanges.js'

const test = suite('decodeReport')
const SEED = 20_261_203
const encode = (demand: object): Uint8Array => encodeDatagram({ case: 'load', value: create(LoadReportSchema, { host: 'a', region: 'akl', demands: [{ service: 's', perSecond: 1, warmMs: 1, parts: [], ...demand }] }) })

test('bytes of any kind are a report or nothing, never a fault', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), (bytes) => {
    const report = decodeLoad(bytes)
    return report === undefined || report.host.length > 0
  }), { seed: SEED, numRuns: 2_000 })
})

test('a report that was changed on the way is a report or nothing', () => {
  const whole = encode({ parts: [{ region: 'akl', part: 1 }] })
  fc.assert(fc.property(fc.nat(whole.length - 1), fc.nat(255), fc.nat(whole.length), (place, value, length) => {
    const bytes = Uint8Array.from(whole)
    bytes[place] = value
    const report = decodeLoad(bytes.subarray(0, length))
    return report === undefined || report.demands.every(({ perSecond }) => Number.isFinite(perSecond) && perSecond >= 0)
  }), { seed: SEED, numRuns: 2_000 })
})

// Anybody may send to the port. A demand of infinitely many requests would move every key of a region at once.
test('a report with a number that can not be counted with is none', () => {
  for (const perSecond of [NaN, Infinity, -1]) assert.is(decodeLoad(encode({ perSecond })), undefined)
  assert.is(decodeLoad(encode({ parts: [{ region: 'akl', part: NaN }] })), undefined)
  assert.ok(decodeLoad(encode({})) !== undefined)
})

// A configuration with 80 organisations is 24 KB long. Too long for a datagram it was not handed on, and each of a region's 25
// hosts asked the store for it: with every change of it a call for each host.
test('a long value is handed on compressed and reads as it was written', () => {
  const organisations = Array.from({ length: 80 }, (_, index) => ({ name: `organisation-${index}`, keys: [createHash('sha1').update(String(index)).digest('hex').slice(0, 20)], priority: 1, ratePerSecond: 20, burst: 20 }))
  const value = Buffer.from(JSON.stringify({ organisations, routes: Array.from({ length: 40 }, (_, index) => ({ name: `r-${index}`, idempotent: true, targetLatencyMs: 316, pathPrefix: `/p${index}/` })) }))
  const events = [{ kind: 'written' as const, item: { key: 'configuration', revision: 5, createdRevision: 1, value } }]
  const parts = splitChanges({ afterRevision: 4, upToRevision: 6, events, forwardTo: [] }, 8_000)
  assert.ok(value.byteLength > 8_000)
  assert.equal(parts.map(({ events: each }) => each), [events])
  const plain = decodeLoad(encode({}))
  if (plain === undefined) throw new Error('no report')
  const bytes = encodeReport({ ...plain, changes: parts[0] })
  assert.ok(bytes.byteLength < 8_000)
  assert.equal(decodeLoad(bytes)?.changes?.events, events)
})

// Anybody may send to the port: 8 KB that grow to gigabytes would end the host.
test('a compressed value that is none, or grows beyond what the store takes, is no report', () => {
  const isReport = (value: Uint8Array): boolean => decodeLoad(encodeDatagram({ case: 'load', value: create(LoadReportSchema, { host: 'a', region: 'akl', changes: { afterRevision: 4, upToRevision: 5, changes: [{ key: 'k', revision: 5, createdRevision: 5, value, deflated: true }] } }) })) !== undefined
  assert.ok(isReport(deflateRawSync(Buffer.alloc(1_000))))
  assert.not(isReport(Buffer.from('nonsense that is no such stream')))
  assert.not(isReport(deflateRawSync(Buffer.alloc(4 * 1024 * 1024))))
})

test('changes of the store read as they were written', () => {
  const changes = {
    afterRevision: 4,
    upToRevision: 9,
    events: [
      { kind: 'written' as const, item: { key: 'target/1', value: Buffer.from('{}'), revision: 5, createdRevision: 2 } },
      { kind: 'deleted' as const, key: 'target/2', revision: 8 }
    ],
    forwardTo: ['b', 'c']
  }
  const plain = decodeLoad(encode({}))
  if (plain === undefined) throw new Error('no report')
  assert.equal(decodeLoad(encodeReport({ ...plain, changes }))?.changes, changes)
})

// Revisions that fall would let a host believe that it knows changes which it never got.
test('changes of the store whose revisions do not rise are none', () => {
  const isReport = (changes: object): boolean => decodeLoad(encodeDatagram({ case: 'load', value: create(LoadReportSchema, { host: 'a', region: 'akl', changes }) })) !== undefined
  const change = { key: 'k', revision: 5, deleted: true }
  assert.ok(isReport({ afterRevision: 4, upToRevision: 5, changes: [change] }))
  assert.not.ok(isReport({ afterRevision: 6, upToRevision: 7, changes: [change] }))
  assert.not.ok(isReport({ afterRevision: 4, upToRevision: 4, changes: [change] }))
  assert.not.ok(isReport({ afterRevision: 4, upToRevision: NaN, changes: [] }))
  assert.not.ok(isReport({ afterRevision: 1, upToRevision: 9, changes: [change, { ...change, revision: 3 }] }))
})

// A report with a revision that no store will ever have would make every host ask the store for it without end.
test('a report with a revision that is no whole number is none', () => {
  for (const revision of [NaN, Infinity, -1, 0.5, 1e300]) {
    for (const field of ['storeRevision', 'notableRevision', 'declaredRevision']) {
      assert.is(decodeLoad(encodeDatagram({ case: 'load', value: create(LoadReportSchema, { host: 'a', region: 'akl', [field]: revision }) })), undefined, `${field}: ${revision}`)
    }
  }
})

test.run()
