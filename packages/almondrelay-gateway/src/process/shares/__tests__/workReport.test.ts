import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decodeDatagram } from '../../peers/decodeDatagram.js'
import { encodeUsageReport } from '../../organisations/encodeUsageReport.js'
import type { UsageReport } from '../../organisations/usageReport.js'
import type { WorkReport } from '../workReport.js'

const test = suite('work in usage reports')
const SEED = 20_261_204
const HOSTS = 13
const ORGANISATIONS = 73

const makeWork = (organisations: number): WorkReport['own'] => new Map([[7, { ageMs: 120, work: { organisations: new Map(Array.from({ length: organisations }, (_, index) => [0x80000000 + index, { priority: 1, askedMs: 900 + index, admittedMs: 300 }])), routes: new Map([[4, { priority: 0, askedMs: 900, admittedMs: 300 }]]), sentMs: 300, requestsPerSecond: 8, turnedAwayPerSecond: 2 } }]])
const makeReport = (work?: WorkReport): UsageReport => ({ host: 'a', incarnation: 'i1', availabilityZone: 'one', sequence: 1, totals: new Map(), zone: undefined, fleet: undefined, ...(work === undefined ? {} : { work }) })
const makeShares = (organisations: number): WorkReport['shares'] => ({ clockMs: 123_456.5, snapshots: new Map([[7, { ageMs: 300, snapshot: { capacityMs: 60_000, marginPriority: 1, shareMs: 800, organisations: new Map(Array.from({ length: organisations }, (_, index) => [0x80000000 + index, { fraction: 0.25, askedMs: 900 + index }])), routes: new Map([[4, { priority: 0, mix: 0.5, floorFraction: 0 }]]) } }]]) })

test('reports decode to what was encoded', () => {
  const report = makeReport({ own: makeWork(3), zone: makeWork(2), shares: makeShares(2) })
  assert.equal(decodeDatagram(encodeUsageReport(report)), { kind: 'use', report })
})

test('without fair shares a report has no bytes of them', () => {
  const bytes = encodeUsageReport(makeReport())
  assert.is(bytes.byteLength, encodeUsageReport({ ...makeReport(), work: { own: undefined, zone: undefined, shares: undefined } }).byteLength)
  assert.equal(decodeDatagram(bytes), { kind: 'use', report: makeReport() })
})

test('changed bytes decode to valid figures or to nothing', () => {
  const bytes = encodeUsageReport(makeReport({ own: makeWork(3), zone: undefined, shares: makeShares(2) }))
  fc.assert(fc.property(fc.nat(bytes.length - 1), fc.nat(255), fc.nat(bytes.length), (place, value, length) => {
    const changed = Uint8Array.from(bytes)
    changed[place] = value
    const message = decodeDatagram(changed.subarray(0, length))
    const work = message?.kind === 'use' ? message.report.work : undefined
    const rates = [...(work?.own?.values() ?? [])].flatMap(({ work }) => [work.requestsPerSecond, work.turnedAwayPerSecond])
    const fractions = [...(work?.shares?.snapshots.values() ?? [])].flatMap(({ snapshot }) => [...snapshot.organisations.values()].map(({ fraction }) => fraction))
    return rates.every((rate) => Number.isFinite(rate) && rate >= 0) && fractions.every((fraction) => fraction >= 0 && fraction <= 1)
  }), { seed: SEED, numRuns: 3_000 })
})

// Guards against an aggregator that exits: sums of reports from elsewhere may exceed the integers of a report.
test('sums beyond the largest integer are encoded', () => {
  const zone = new Map([[7, { ageMs: 1e12, work: { organisations: new Map([[1, { priority: 0, askedMs: 1e11, admittedMs: 1e11 }]]), routes: new Map(), sentMs: 1e11, requestsPerSecond: 1, turnedAwayPerSecond: 0 } }]])
  assert.is(decodeDatagram(encodeUsageReport(makeReport({ own: undefined, zone, shares: undefined })))?.kind, 'use')
})

// Guards against a host that exits: the configuration accepts any number as a priority, and the encoder throws on what a field can't hold.
test('priorities that are no positive integers, and rates that aren\'t finite, are encoded as the nearest values', () => {
  for (const [priority, encoded] of [[1.5, 2], [-1, 0], [1e12, 0xffffffff], [NaN, 0]] as const) {
    const classes = new Map([[1, { priority, askedMs: 5, admittedMs: 5 }]])
    const own = new Map([[7, { ageMs: 0, work: { organisations: classes, routes: classes, sentMs: 1, requestsPerSecond: Infinity, turnedAwayPerSecond: -1 } }]])
    const snapshot = { capacityMs: 9, marginPriority: priority, shareMs: 8, organisations: new Map(), routes: new Map([[4, { priority, mix: 0.5, floorFraction: 0 }]]) }
    const message = decodeDatagram(encodeUsageReport(makeReport({ own, zone: undefined, shares: { clockMs: 1, snapshots: new Map([[7, { ageMs: 0, snapshot }]]) } })))
    const work = message?.kind === 'use' ? message.report.work : undefined
    const decoded = work?.own?.get(7)?.work
    assert.is(decoded?.organisations.get(1)?.priority, encoded)
    assert.is(decoded?.routes.get(1)?.priority, encoded)
    assert.ok(Number.isFinite(decoded?.requestsPerSecond) && decoded?.turnedAwayPerSecond === 0)
    assert.is(work?.shares?.snapshots.get(7)?.snapshot.marginPriority, encoded)
    assert.is(work?.shares?.snapshots.get(7)?.snapshot.routes.get(4)?.priority, encoded)
  }
})

// 4 KB a second a host: two reports of a zone a second to two aggregators, or shares to a zone's hosts at a longer interval.
test('reports of 73 organisations fit into datagrams of some hundred bytes', () => {
  assert.ok(encodeUsageReport(makeReport({ own: makeWork(ORGANISATIONS), zone: undefined, shares: undefined })).byteLength < 900)
  assert.ok(encodeUsageReport(makeReport({ own: undefined, zone: undefined, shares: makeShares(16) })).byteLength * HOSTS < 4_000)
})

test.run()
