import { create, toBinary } from '@bufbuild/protobuf'
import { LoadReportSchema } from 'almondrelay-protocol'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decodeReport } from '../decodeReport.js'

const test = suite('decodeReport')
const SEED = 20_261_203
const encode = (demand: object): Uint8Array => toBinary(LoadReportSchema, create(LoadReportSchema, { host: 'a', region: 'akl', demands: [{ service: 's', perSecond: 1, warmMs: 1, parts: [], ...demand }] }))

test('bytes of any kind are a report or nothing, never a fault', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), (bytes) => {
    const report = decodeReport(bytes)
    return report === undefined || report.host.length > 0
  }), { seed: SEED, numRuns: 2_000 })
})

test('a report that was changed on the way is a report or nothing', () => {
  const whole = encode({ parts: [{ region: 'akl', part: 1 }] })
  fc.assert(fc.property(fc.nat(whole.length - 1), fc.nat(255), fc.nat(whole.length), (place, value, length) => {
    const bytes = Uint8Array.from(whole)
    bytes[place] = value
    const report = decodeReport(bytes.subarray(0, length))
    return report === undefined || report.demands.every(({ perSecond }) => Number.isFinite(perSecond) && perSecond >= 0)
  }), { seed: SEED, numRuns: 2_000 })
})

// Anybody may send to the port. A demand of infinitely many requests would move every key of a region at once.
test('a report with a number that can not be counted with is none', () => {
  for (const perSecond of [NaN, Infinity, -1]) assert.is(decodeReport(encode({ perSecond })), undefined)
  assert.is(decodeReport(encode({ parts: [{ region: 'akl', part: NaN }] })), undefined)
  assert.ok(decodeReport(encode({})) !== undefined)
})

// A report with a revision that no store will ever have would make every host ask the store for it without end.
test('a report with a revision that is no whole number is none', () => {
  for (const revision of [NaN, Infinity, -1, 0.5, 1e300]) {
    for (const field of ['storeRevision', 'notableRevision', 'declaredRevision']) {
      assert.is(decodeReport(toBinary(LoadReportSchema, create(LoadReportSchema, { host: 'a', region: 'akl', [field]: revision }))), undefined, `${field}: ${revision}`)
    }
  }
})

test.run()
