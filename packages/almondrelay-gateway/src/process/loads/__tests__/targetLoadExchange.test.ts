import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { computeHash } from '../../../version/computeHash.js'
import { decodeDatagram } from '../../peers/decodeDatagram.js'
import { LoadFleet } from '../__fixtures__/loadFleet.js'
import { encodeTargetLoads } from '../encodeTargetLoads.js'
import type { TargetLoadReport } from '../targetLoadReport.js'

const test = suite('TargetLoadExchange')
const SLOW = { speedPercent: 250 }
const makeReport = (content: Partial<TargetLoadReport> = {}): TargetLoadReport => ({ host: 'front-akl-0-03', incarnation: '1764810000000-3', origin: 0, passesOn: false, forwardTo: [], statements: [{ incarnationHash: 7, running: 1, waiting: 2, speedPercent: 250, ageMs: 20 }], ...content })
const countInformed = (fleet: LoadFleet, target: number): number => fleet.hosts.filter((host, index) => !host.isStopped && (fleet.getSlowness(index, target) ?? 1) > 1.2).length

test('nothing is sent and no timer runs while no target states its speed', async () => {
  const fleet = new LoadFleet(2, 3, 4)
  await fleet.advance(500, () => { fleet.answer(0, 1, { speedPercent: undefined }) })
  assert.is(fleet.datagrams, 0)
  assert.ok(fleet.isIdle)
})

test('a slow target is known to all hosts of its region within half a second, and the exchange ends with the statements', async () => {
  const fleet = new LoadFleet(2, 12, 4)
  await fleet.advance(1_000)
  fleet.answer(5, 1, SLOW)
  await fleet.advance(500)
  assert.is(countInformed(fleet, 1), 24)
  assert.is(countInformed(fleet, 2), 0)
  const { datagrams } = fleet
  await fleet.advance(12_000)
  assert.is(fleet.datagrams, datagrams)
  assert.ok(fleet.isIdle)
})

// The first aggregator of a zone exits or stops without a word: its hosts' statements reached nobody until it was no longer listed, 3 s later.
test('the second aggregator takes the place of one that is silent', async () => {
  const fleet = new LoadFleet(2, 12, 4)
  await fleet.advance(1_000)
  fleet.find(0).isStopped = true
  await fleet.advance(1_000, () => { fleet.answer(5, 2, {}) })
  fleet.answer(5, 1, SLOW)
  await fleet.advance(500)
  // One group of its zone, and hosts whose list still names the stopped host as the one to forward, may miss a single spread.
  const informed = countInformed(fleet, 1)
  assert.ok(informed >= 19, `${informed} of 23 hosts`)
})

// Both aggregators of a zone have exited. The zone's hosts must go on with what they receive themselves, and the other zone must not notice.
test('with both aggregators silent each host uses its own statements, until two others take their place', async () => {
  const fleet = new LoadFleet(2, 12, 4)
  await fleet.advance(1_000)
  for (const index of [0, 1]) fleet.find(index).isStopped = true
  fleet.answer(5, 1, SLOW)
  fleet.answer(17, 2, SLOW)
  await fleet.advance(500)
  assert.ok((fleet.getSlowness(5, 1) ?? 0) > 1.2)
  assert.is(countInformed(fleet, 1), 1)
  assert.ok(countInformed(fleet, 2) >= 12)
  await fleet.advance(4_000)
  fleet.answer(5, 3, SLOW)
  await fleet.advance(500)
  assert.is(countInformed(fleet, 3), 22)
})

// A host that reaches the second aggregator only hands its statements to that one.
test('the statements of a host that is cut off from the first aggregator go through the second', async () => {
  const fleet = new LoadFleet(1, 6, 4)
  fleet.isLost = (from, to) => [from, to].every((name) => ['front-akl-0-00', 'front-akl-0-05'].includes(name))
  await fleet.advance(2_000, () => { fleet.answer(5, 2, {}) })
  fleet.answer(5, 1, SLOW)
  await fleet.advance(600)
  assert.is(countInformed(fleet, 1), 6)
})

// Guards against made-up statements: they would take all requests from a target. Anybody may send to the port.
test('reports count only from known hosts in the place that they require', async () => {
  const fleet = new LoadFleet(2, 4, 4)
  await fleet.advance(1_000)
  const hash = fleet.find(0).fleet.findTarget('target-1')?.incarnationHash as number
  const statements = [{ incarnationHash: hash, running: 1, waiting: 0, speedPercent: 250, ageMs: 0 }]
  const own = makeReport({ statements })
  const remote = makeReport({ statements, host: 'front-akl-1-00', incarnation: '1764810000000-4' })
  const cases: Array<[string, TargetLoadReport, number, string]> = [
    ['from another address', own, 0, '10.0.0.9'],
    ['of an earlier incarnation', { ...own, incarnation: '1' }, 0, '10.0.0.3'],
    ['of an unknown host', { ...own, host: 'x' }, 0, '10.0.0.3'],
    ['to a host that is no aggregator', own, 2, '10.0.0.3'],
    ['of another zone, not to be passed on', remote, 0, '10.0.1.4'],
    ['of a host of another zone that is no aggregator', { ...remote, host: 'front-akl-1-03', incarnation: '1764810000000-7', passesOn: true }, 0, '10.0.1.7']
  ]
  for (const [text, report, to, ip] of cases) {
    fleet.pass(encodeTargetLoads(report), fleet.find(to), ip)
    assert.is(fleet.getSlowness(to, 1), undefined, text)
  }
  fleet.pass(encodeTargetLoads(own), fleet.find(0), '10.0.0.3')
  assert.is(fleet.getSlowness(0, 1), 2.5)
})

test('statements of unknown targets are ignored', async () => {
  const fleet = new LoadFleet(1, 4, 4)
  await fleet.advance(1_000)
  fleet.pass(encodeTargetLoads(makeReport()), fleet.find(0), '10.0.0.3')
  await fleet.advance(500)
  assert.is(fleet.datagrams, 0)
})

test('reports decode to what was encoded, and arbitrary bytes to a valid report or to nothing', () => {
  const report = makeReport({ origin: computeHash('a'), passesOn: true, forwardTo: [1, 2] })
  const bytes = encodeTargetLoads(report)
  assert.equal(decodeDatagram(bytes), { kind: 'target-loads', report })
  fc.assert(fc.property(fc.nat(bytes.length - 1), fc.nat(255), fc.nat(bytes.length), (place, value, length) => {
    const changed = Uint8Array.from(bytes)
    changed[place] = value
    const message = decodeDatagram(changed.subarray(0, length))
    const statements = message?.kind === 'target-loads' ? message.report.statements : []
    return statements.every(({ running, waiting, speedPercent, ageMs }) => [running, waiting, ageMs].every((each) => each >= 0 && each <= 1_000_000) && speedPercent > 0 && speedPercent <= 10_000)
  }), { seed: 20_261_204, numRuns: 2_000 })
})

// A build before this exchange knows no such content, and this one none of a later build: both must ignore the datagram.
test('a datagram with content of another build is ignored', () => {
  const [tag, ...rest] = encodeTargetLoads(makeReport())
  assert.is(tag, 4 << 3 | 2)
  assert.is(decodeDatagram(Uint8Array.from([9 << 3 | 2, ...rest])), undefined)
})

// Guards against figures that no target means and against datagrams of 64 KB.
test('reports that no host can have sent are rejected', () => {
  const [statement] = makeReport().statements
  if (statement === undefined) throw new Error('no statement')
  const many = Array.from({ length: 5_000 }, () => statement)
  for (const report of [makeReport({ host: '' }), makeReport({ host: 'x'.repeat(201) }), makeReport({ forwardTo: Array.from({ length: 17 }, () => 1) }), makeReport({ statements: many }), ...[{ speedPercent: 0 }, { speedPercent: 10_001 }, { running: 2_000_000 }, { waiting: 4_294_967_295 }, { ageMs: 60_001 }].map((figures) => makeReport({ statements: [{ ...statement, ...figures }] }))]) {
    assert.is(decodeDatagram(encodeTargetLoads(report)), undefined)
  }
})

// Bytes of the busiest host: 74 targets of which 15 in 100 are slow, others every 0.6 s, and 14 answers a second at each of 24 hosts; and
// the same for 2 zones of 60 hosts with 300 targets.
for (const [hosts, targets, perSecond] of [[12, 74, 360], [60, 300, 1_700]] as const) {
  test(`no host sends more than 4 KB/s in zones of ${hosts}`, async () => {
    const fleet = new LoadFleet(2, hosts, targets)
    await fleet.advance(1_000)
    let due = 0
    let count = 0
    const seconds = 10
    await fleet.advance(seconds * 1_000, () => {
      for (due += perSecond / 100; due >= 1; due -= 1) {
        count += 1
        const target = computeHash(`target ${count}`) % targets
        const isSlow = computeHash(`${target} ${Math.floor(fleet.now / 600)}`) % 100 < 15
        fleet.answer(computeHash(`host ${count}`) % (2 * hosts), target, { speedPercent: isSlow ? 250 : 100 })
      }
    })
    const rates = fleet.hosts.map(({ bytes }) => Math.round(bytes / seconds)).sort((one, other) => other - one)
    if (process.env['PRINT_BYTES'] === '1') console.log(hosts, rates.slice(0, 5), rates[Math.floor(rates.length / 2)])
    assert.ok((rates[0] ?? 0) <= 4_000, rates.slice(0, 4).join())
    assert.ok((rates[0] ?? 0) > 500)
  })
}

test.run()
