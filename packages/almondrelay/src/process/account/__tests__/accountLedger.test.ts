import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { makeEntry } from '../__fixtures__/makeEntry.js'
import { AccountLedger } from '../accountLedger.js'
import { AccountPage } from '../accountPage.js'

const MINUTE = 60_000
const makeLedger = (limits: { maxRows?: number, maxPages?: number, maxPageBytes?: number } = {}): AccountLedger => new AccountLedger({ host: 'akl-a-1', incarnation: 7, ...limits })
const countRequests = (ledger: AccountLedger): number => ledger.listPages().flatMap((page) => page.rows).reduce((sum, row) => sum + row.count, 0)

test('requests that are equal in all dimensions share a row', () => {
  const ledger = makeLedger()
  ledger.record(makeEntry({ durationMs: 10 }))
  ledger.record(makeEntry({ durationMs: 30 }))
  ledger.record(makeEntry({ outcome: 'not-run', reason: 'queue-full' }))
  ledger.closeMinutes(MINUTE)
  const [page] = ledger.listPages()
  assert.is(page?.rows.length, 2)
  assert.equal(page?.rows[0], { caller: 'kowhai', service: 'balances', target: 'balances-akl-1', region: 'akl', availabilityZone: 'akl-a', callerRegion: 'akl', outcome: 'run', reason: '', count: 2, durationMs: 40, maxDurationMs: 30 })
  assert.equal(AccountPage.parse(JSON.parse(JSON.stringify(page))), page)
})

test('minutes without requests get pages too, so that a missing page indicates lost data', () => {
  const ledger = makeLedger()
  ledger.record(makeEntry({ at: 0 }))
  ledger.record(makeEntry({ at: 3 * MINUTE }))
  assert.equal(ledger.listPages().map((page) => [page.minute, page.rows.length]), [[0, 1], [1, 0], [2, 0]])
})

// A caller that sends a new name with each request must not exhaust the host's memory: requests beyond the row limit
// are counted under `other`, with their outcome and reason, and the page states their number.
test('a page has a limited number of rows, and further requests are counted as other', () => {
  const ledger = makeLedger({ maxRows: 3 })
  for (let index = 0; index < 10; index += 1) ledger.record(makeEntry({ caller: `caller-${index}` }))
  ledger.record(makeEntry({ caller: 'one more', outcome: 'not-run', reason: 'queue-full' }))
  ledger.closeMinutes(MINUTE)
  const [page] = ledger.listPages()
  const others = page?.rows.filter((row) => row.caller === 'other')
  assert.equal(others?.map((row) => [row.outcome, row.reason, row.count]), [['run', '', 7], ['not-run', 'queue-full', 1]])
  assert.is(page?.folded, 8)
})

test('a page stays under the platform\'s limit for a value, whatever callers send', () => {
  const ledger = makeLedger()
  for (let index = 0; index < 3_000; index += 1) {
    const long = `${'"\\'.repeat(2_000)}${index}`
    ledger.record(makeEntry({ caller: `${index}${long}`, service: `${index}${long}`, target: 'x'.repeat(63) }))
  }
  ledger.closeMinutes(MINUTE)
  assert.ok(JSON.stringify(ledger.listPages()[0]).length < 1_000_000)
  assert.is(countRequests(ledger), 3_000)
})

// A platform outage that is longer than pages are kept must not lower the totals unnoticed: each later page states how
// much was dropped.
test('the oldest pages beyond the limit are dropped and counted as lost', () => {
  const ledger = makeLedger({ maxPages: 3 })
  for (let minute = 0; minute < 6; minute += 1) ledger.record(makeEntry({ at: minute * MINUTE }))
  ledger.closeMinutes(6 * MINUTE)
  assert.equal(ledger.listPages().map((page) => page.minute), [3, 4, 5])
  assert.equal(ledger.getLost(), { minutes: 3, requests: 3 })
  assert.equal(ledger.listPages().at(-1)?.lost, { minutes: 3, requests: 3 })
})

test('setting the wall clock back changes no closed page', () => {
  const ledger = makeLedger()
  ledger.record(makeEntry({ at: 5 * MINUTE }))
  ledger.record(makeEntry({ at: 6 * MINUTE }))
  ledger.record(makeEntry({ at: 2 * MINUTE }))
  ledger.closeMinutes(7 * MINUTE)
  assert.equal(ledger.listPages().map((page) => [page.minute, page.rows[0]?.count]), [[5, 1], [6, 2]])
})

test('a clock that jumps far ahead makes no more pages than are kept', () => {
  const ledger = makeLedger({ maxPages: 3 })
  ledger.record(makeEntry({ at: 0 }))
  ledger.closeMinutes(1_000_000 * MINUTE)
  assert.is(ledger.listPages().length, 3)
  assert.is(ledger.getLost().requests, 1)
})

test('every request is in a page, in the open minute, or counted as lost', () => {
  const step = fc.record({ after: fc.integer({ min: -30_000, max: 90_000 }), caller: fc.integer({ min: 0, max: 5 }) })
  fc.assert(fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
    const ledger = makeLedger({ maxRows: 2, maxPages: 4 })
    let at = 600_000
    for (const each of steps) {
      at = Math.max(0, at + each.after)
      ledger.record(makeEntry({ at, caller: `caller-${each.caller}` }))
    }
    ledger.closeLast(at)
    assert.is(countRequests(ledger) + ledger.getLost().requests, steps.length)
    const minutes = ledger.listPages().map((page) => page.minute)
    assert.equal(minutes, [...new Set(minutes)].sort((left, right) => left - right))
  }), { seed: 11, numRuns: 300 })
})

test.run()
