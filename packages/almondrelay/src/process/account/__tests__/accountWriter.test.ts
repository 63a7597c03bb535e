import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSeededRandom } from '../../../request/createSeededRandom.js'
import { FakeClock } from '../../platform/__fixtures__/fakeClock.js'
import { FakePlatform } from '../../platform/__fixtures__/fakePlatform.js'
import { makeEntry } from '../__fixtures__/makeEntry.js'
import { AccountLedger } from '../accountLedger.js'
import { AccountReader } from '../accountReader.js'
import { AccountWriter } from '../accountWriter.js'
import { mergePages } from '../mergePages.js'

const MINUTE = 60_000
const never = new AbortController().signal

/** A host's ledger and writer in virtual time; the hosts of one test share a clock. */
class AccountRun {
  failures = 0
  readonly ledger: AccountLedger
  readonly writer: AccountWriter

  constructor (readonly clock: FakeClock, platform: FakePlatform, host = 'akl-a-1', incarnation = 1, maxPages = 60) {
    this.ledger = new AccountLedger({ host, incarnation, maxPages })
    this.writer = new AccountWriter(this.ledger, platform, {
      wallNow: () => clock.getNow(),
      sleep: (ms, signal) => clock.sleep(ms, signal),
      random: createSeededRandom(incarnation),
      logFailure: () => { this.failures += 1 }
    })
  }

  /** Runs the writer until the given time and records one request every `everyMs`. */
  async runUntil (untilMs: number, everyMs: number): Promise<number> {
    const stop = new AbortController()
    const task = this.writer.run(stop.signal)
    let recorded = 0
    while (this.clock.getNow() < untilMs) {
      this.ledger.record(makeEntry({ at: this.clock.getNow() }))
      recorded += 1
      await this.clock.advance(Math.min(everyMs, untilMs - this.clock.getNow()))
    }
    stop.abort()
    await task
    return recorded
  }
}

const startRun = (maxPages?: number): { clock: FakeClock, platform: FakePlatform, run: AccountRun } => {
  const clock = new FakeClock()
  const platform = new FakePlatform(clock)
  return { clock, platform, run: new AccountRun(clock, platform, 'akl-a-1', 1, maxPages) }
}

const sumReport = async (platform: FakePlatform, since = 0, until = 1_000 * MINUTE, wallNow = until) => {
  const report = await new AccountReader(platform).read(since, until, wallNow, never)
  const total = report.minutes.flatMap((each) => each.rows).reduce((sum, row) => sum + row.count, 0)
  return { ...report, total }
}

test('pages reach the platform, the last one on a planned stop', async () => {
  const { platform, run } = startRun()
  const recorded = await run.runUntil(5 * MINUTE + 1_000, 7_000)
  assert.is(await run.writer.finish(), 0)
  const report = await sumReport(platform)
  assert.is(report.total, recorded)
  assert.equal(report.missing, [])
  assert.ok(await platform.get('account/akl-a-1/1/0000000005', never))
})

// Guards against a last page that is not written, and a process that ends with an error, because of a time limit with a fraction.
test('a time limit with a fraction, or one that is over, is no error', async () => {
  const { run } = startRun()
  await run.runUntil(5 * MINUTE, 7_000)
  assert.is(await run.writer.finish(987.6543), 0)
  await run.runUntil(7 * MINUTE, 7_000)
  assert.ok(await run.writer.finish(-0.5) >= 0)
})

// Counts must not be lost when the platform is unavailable for ten minutes while requests are served: the pages are
// kept and written after the outage.
test('pages are kept through an outage', async () => {
  const { platform, run } = startRun()
  let recorded = await run.runUntil(2 * MINUTE, 5_000)
  platform.faults.outage = true
  recorded += await run.runUntil(12 * MINUTE, 5_000)
  assert.ok(run.failures > 3 && run.failures < 60, `${run.failures} tries`)
  platform.faults.outage = false
  recorded += await run.runUntil(14 * MINUTE, 5_000)
  await run.writer.finish()
  const report = await sumReport(platform)
  assert.is(report.total, recorded)
  assert.equal(report.lost, { minutes: 0, requests: 0 })
})

test('an outage longer than pages are kept drops the oldest pages, and the report states how much was lost', async () => {
  const { platform, run } = startRun(5)
  platform.faults.outage = true
  const recorded = await run.runUntil(20 * MINUTE, 5_000)
  platform.faults.outage = false
  await run.writer.finish()
  const report = await sumReport(platform)
  assert.ok(report.lost.requests > 0)
  assert.is(report.total + report.lost.requests, recorded)
})

// When a put is stored but its answer is lost, the writer puts the page again. Counting that page twice would bill a
// client twice.
test('a page whose answer was lost counts once', async () => {
  const { platform, run } = startRun()
  platform.faults.lostAnswers = 1
  const recorded = await run.runUntil(4 * MINUTE, 10_000)
  await run.writer.finish()
  assert.is(run.failures, 1)
  assert.is((await sumReport(platform)).total, recorded)
})

// The counts since the last page are lost when a host is killed. The report must name the host and the minute after
// which its counts are unknown, and its next incarnation starts with new pages.
test('the report names a host that was killed before it wrote its last page', async () => {
  const { clock, platform, run } = startRun()
  await run.runUntil(4 * MINUTE, 10_000)
  await clock.advance(2 * MINUTE)
  const second = new AccountRun(clock, platform, 'akl-a-1', 2)
  await second.runUntil(8 * MINUTE, 10_000)
  await second.writer.finish()
  const report = await sumReport(platform)
  assert.is(report.missing.length, 1)
  assert.is(report.missing[0]?.incarnation, 1)
  assert.ok((report.missing[0]?.silentSince ?? 99) < 4)
})

test('a live host whose last page is not due yet is not reported as missing', async () => {
  const { platform, run } = startRun()
  await run.runUntil(4 * MINUTE, 10_000)
  assert.equal((await sumReport(platform, 0, 4 * MINUTE, 4 * MINUTE)).missing, [])
})

test('reading a time range excludes pages outside the range, over several hosts', async () => {
  const clock = new FakeClock()
  const platform = new FakePlatform(clock)
  const runs = ['akl-a-1', 'wlg-a-1', 'wlg-b-1'].map((host) => new AccountRun(clock, platform, host))
  for (let now = 0; now < 60 * MINUTE; now += 30_000) {
    for (const run of runs) run.ledger.record(makeEntry({ at: now }))
    await clock.advance(30_000)
  }
  for (const run of runs) await run.writer.finish()
  platform.calls.clear()
  const report = await sumReport(platform, 30 * MINUTE, 31 * MINUTE)
  assert.equal(report.minutes.map((each) => each.minute), [30, 31])
  assert.is(report.total, 12)
  assert.is(report.pages, 6)
  const lists = platform.calls.get('list') ?? 0
  assert.ok(lists <= 12, `${lists} list calls`)
})

test('the report names missing minutes and unreadable pages', async () => {
  const { platform, run } = startRun()
  await run.runUntil(6 * MINUTE, 30_000)
  await run.writer.finish()
  await platform.delete('account/akl-a-1/1/0000000002', 1, never)
  await platform.put('account/akl-a-1/1/0000000003', '{"half', 1, never)
  const report = await sumReport(platform)
  assert.equal(report.missing, [{ host: 'akl-a-1', incarnation: 1, minutes: [2, 3] }])
  assert.equal(report.unreadable, ['account/akl-a-1/1/0000000003'])
})

test('a page that is read twice counts once', () => {
  const ledger = new AccountLedger({ host: 'akl-a-1', incarnation: 1 })
  ledger.record(makeEntry({}))
  ledger.closeLast(0)
  const pages = [...ledger.listPages(), ...ledger.listPages()]
  assert.is(mergePages(pages, 0, 1, 1).minutes[0]?.rows[0]?.count, 1)
})

test('a platform outage while the account is read is an error, never a partial report', async () => {
  const { clock, platform } = startRun()
  platform.faults.outage = true
  const reading = sumReport(platform).catch((reason: Error) => reason)
  await clock.advance(10_000)
  assert.instance(await reading, Error)
})

// Guards against minutes that are missing in the account although their pages were written, because the platform returned from a copy.
test('pages that the platform has lost are written again, and none is counted twice', async () => {
  const { clock, platform, run } = startRun()
  const early = await run.runUntil(1.9 * MINUTE, 100)
  const copy = platform.copy()
  const late = await run.runUntil(3.9 * MINUTE, 100)
  platform.returnFrom(copy)
  run.writer.handlePlatformReturn()
  platform.faults.outage = true
  const during = await run.runUntil(4.6 * MINUTE, 100)
  platform.faults.outage = false
  const rest = await run.runUntil(7 * MINUTE, 100)
  await run.writer.finish()
  assert.is((await sumReport(platform, 0, 10 * MINUTE, clock.getNow())).total, early + late + during + rest)
})

test.run()
