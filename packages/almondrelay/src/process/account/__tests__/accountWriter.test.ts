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

/** A host's account in virtual time, on a clock that hosts of one test share. */
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

  /** Runs the writer until a time, with one request recorded every `everyMs`. */
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

// The platform is out for ten minutes. Requests are served on, and their counts must not be
// lost: the pages wait, and are written once it is back.
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

test('an outage longer than the bound loses the oldest, and the report says how much', async () => {
  const { platform, run } = startRun(5)
  platform.faults.outage = true
  const recorded = await run.runUntil(20 * MINUTE, 5_000)
  platform.faults.outage = false
  await run.writer.finish()
  const report = await sumReport(platform)
  assert.ok(report.lost.requests > 0)
  assert.is(report.total + report.lost.requests, recorded)
})

// The put is stored and its answer is lost. The writer puts the page again; a manager who then
// saw the minute twice would bill a client twice.
test('a page whose answer was lost counts once', async () => {
  const { platform, run } = startRun()
  platform.faults.lostAnswers = 1
  const recorded = await run.runUntil(4 * MINUTE, 10_000)
  await run.writer.finish()
  assert.is(run.failures, 1)
  assert.is((await sumReport(platform)).total, recorded)
})

// The host is killed. What it counted since its last page is gone; the report names the host
// and the minute after which nothing is known, and its next incarnation starts afresh.
test('a host that dies without a last page is named', async () => {
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

test('a live host whose last page is not due yet is not called silent', async () => {
  const { platform, run } = startRun()
  await run.runUntil(4 * MINUTE, 10_000)
  assert.equal((await sumReport(platform, 0, 4 * MINUTE, 4 * MINUTE)).missing, [])
})

test('the span is read without the pages around it, over hosts', async () => {
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

test('a missing minute and a page that is broken are named', async () => {
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

test('an outage while the account is read is an error, never a part shown as the whole', async () => {
  const { clock, platform } = startRun()
  platform.faults.outage = true
  const reading = sumReport(platform).catch((reason: Error) => reason)
  await clock.advance(10_000)
  assert.instance(await reading, Error)
})

test.run()
