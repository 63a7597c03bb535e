import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { UseReportSchema } from 'almondrelay-protocol'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decodeDatagram } from '../../peers/decodeDatagram.js'
import { encodeDatagram } from '../../peers/encodeDatagram.js'
import { encodeUsageReport } from '../encodeUsageReport.js'
import type { UsageReport } from '../usageReport.js'

const test = suite('decodeUsageReport')
const SEED = 20_261_204
const PLAIN = { noNullPrototype: true }
const arbitraryName = fc.string({ unit: 'grapheme', minLength: 1, maxLength: 60 })
const arbitraryCount = fc.nat(0xffffffff)
const arbitraryRate = fc.float({ min: 0, max: 1e6, noNaN: true }).map((value) => Math.abs(value))
const arbitraryZone = fc.option(fc.record({
  hosts: fc.nat(10_000),
  unseenMs: arbitraryCount,
  usageByOrganisation: fc.array(fc.tuple(arbitraryCount, fc.record({ letThrough: arbitraryCount, leavingPerSecond: arbitraryCount, askedPerSecond: arbitraryRate }, PLAIN))).map((entries) => new Map(entries))
}, PLAIN), { nil: undefined })
const arbitraryReport: fc.Arbitrary<UsageReport> = fc.record({
  host: arbitraryName,
  incarnation: fc.string(),
  availabilityZone: arbitraryName,
  sequence: arbitraryCount,
  totals: fc.array(fc.tuple(arbitraryCount, fc.record({ asked: arbitraryCount, letThrough: arbitraryCount }, PLAIN))).map((entries) => new Map(entries)),
  zone: arbitraryZone,
  fleet: arbitraryZone
}, PLAIN)

const decode = (bytes: Uint8Array): UsageReport | undefined => {
  const message = decodeDatagram(bytes)
  return message?.kind === 'use' ? message.report : undefined
}
const encode = (content: MessageInitShape<typeof UseReportSchema>): Uint8Array => encodeDatagram({ case: 'use', value: create(UseReportSchema, { host: 'a', availabilityZone: 'akl-a', ...content }) })

// Guards against a field that is read differently from how the protobuf library, and so every earlier build, writes it.
test('every report decodes to what the protobuf library encoded', () => {
  fc.assert(fc.property(arbitraryReport, (report) => { assert.equal(decode(encodeUsageReport(report)), report) }), { seed: SEED, numRuns: 500 })
})

// Guards against a crash of all hosts by one datagram, as anybody can send to the port.
test('arbitrary bytes and reports cut short decode to nothing, or to a report, and never throw', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
    const report = decode(Uint8Array.from([18, bytes.length & 127, ...bytes]))
    return report === undefined || report.host.length > 0
  }), { seed: SEED, numRuns: 2_000 })
  const whole = encode({ organisationHashes: [1], asked: [2], letThrough: [3], zone: { hosts: 1 } })
  for (let length = 0; length < whole.length; length += 1) assert.is(decode(whole.subarray(0, length)), undefined, `${length} bytes`)
  assert.ok(decode(whole) !== undefined)
})

// Guards against sums that become useless: a rate that isn't finite, or counts that belong to other organisations.
test('a report that no host sends is rejected', () => {
  const whole = { hosts: 2, organisationHashes: [1], letThrough: [1], askedPerSecond: [1], leaving: [1] }
  assert.ok(decode(encode({ zone: whole, fleet: whole })) !== undefined)
  const invalid: Array<MessageInitShape<typeof UseReportSchema>> = [
    { host: '' },
    { availabilityZone: 'z'.repeat(201) },
    { organisationHashes: [1, 2], asked: [1], letThrough: [1, 2] },
    { organisationHashes: [1], asked: [1], letThrough: [] },
    { zone: { ...whole, hosts: 10_001 } },
    { zone: { ...whole, leaving: [] } },
    ...[NaN, Infinity, -1].map((rate) => ({ fleet: { ...whole, askedPerSecond: [rate] } }))
  ]
  for (const content of invalid) assert.is(decode(encode(content)), undefined, JSON.stringify(content))
})

test.run()
