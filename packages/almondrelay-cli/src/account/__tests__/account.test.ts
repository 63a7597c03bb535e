import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AccountLedger, mergePages, type AccountEntry, type AccountReport } from 'almondrelay'
import { FakeOperatorApi } from '../../__fixtures__/fakeOperatorApi.js'
import { runCommandLine } from '../../__fixtures__/runCommandLine.js'
import { parseTime } from '../parseTime.js'

const MINUTE = 60_000

const makeReport = (): AccountReport => {
  const ledger = new AccountLedger({ host: 'akl-a-1', incarnation: 1, maxRows: 4 })
  const add = (parts: Partial<AccountEntry>): void => ledger.record({ at: 0, caller: 'kowhai', service: 'balances', target: 'b1', region: 'akl', availabilityZone: 'akl-a', callerRegion: 'akl', outcome: 'run', durationMs: 10, ...parts })
  for (let index = 0; index < 5; index += 1) add({})
  add({ durationMs: 40 })
  add({ service: 'approvals', target: 'a1' })
  add({ caller: '=cmd()', at: MINUTE })
  add({ outcome: 'not-run', reason: 'queue-full', at: MINUTE })
  for (let index = 0; index < 4; index += 1) add({ caller: `c${index}`, at: MINUTE })
  ledger.closeMinutes(2 * MINUTE)
  return { ...mergePages(ledger.listPages(), 0, 5, 4), unreadable: [] }
}

const runAccountCommand = async (args: readonly string[]) => {
  const fake = await FakeOperatorApi.start()
  fake.pages = makeReport()
  try {
    return await runCommandLine(['account', '--operator', fake.address, ...args])
  } finally {
    await fake.stop()
  }
}

test('requests are counted by caller and outcome', async () => {
  const result = await runAccountCommand(['--by', 'caller,outcome'])
  assert.is(result.code, 0, result.stderr)
  assert.match(result.stdout, /kowhai\s+run\s+7\s+14.3\s+40/)
  assert.match(result.stdout, /kowhai\s+not-run\s+1/)
  assert.match(result.stdout, 'total 13, from 2 pages')
})

test('missing and open minutes and folded requests are listed with the total', async () => {
  const result = await runAccountCommand([])
  assert.match(result.stdout, 'missing: akl-a-1 (incarnation 1): no page after 1970-01-01T00:01Z, and no planned stop')
  assert.match(result.stdout, 'open: pages of minutes after 1970-01-01T00:04Z may still come')
  assert.match(result.stdout, "folded: 2 requests are counted under the caller 'other'")
})

test('the account can be limited to one caller and one service', async () => {
  const result = await runAccountCommand(['--by', 'target', '--caller', 'kowhai', '--service', 'approvals', '--output', 'json'])
  const shown = JSON.parse(result.stdout) as { total: number, rows: unknown[] }
  assert.is(shown.total, 1)
  assert.equal(shown.rows, [{ target: 'a1', requests: 1, meanMs: 10, maxMs: 10 }])
})

// Guards against formula injection: a caller may call itself `=cmd()`, and a spreadsheet that opens the CSV file would
// run the name as a formula.
test('csv output escapes names that look like formulas, and prints the gaps to stderr', async () => {
  const result = await runAccountCommand(['--by', 'caller', '--output', 'csv'])
  assert.match(result.stdout, "\r\n'=cmd(),1,")
  assert.not.match(result.stdout, 'missing')
  assert.match(result.stderr, 'missing')
})

test('times are ISO 8601 or relative; other texts and unknown dimensions are refused', async () => {
  assert.is(parseTime('90m', 100 * MINUTE), 10 * MINUTE)
  assert.is(parseTime('1970-01-01T00:01Z', 0), MINUTE)
  assert.is((await runAccountCommand(['--since', 'yesterday'])).code, 2)
  const wrong = await runAccountCommand(['--by', 'callr'])
  assert.is(wrong.code, 2)
  assert.match(wrong.stderr, "'callr' is unknown: write caller")
})

test.run()
