import { readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AccountLedger, createSeededRandom, mergePages, type AccountReport } from 'almondrelay'
import { FakeOperatorApi } from '../../__fixtures__/fakeOperatorApi.js'
import { runCommandLine } from '../../__fixtures__/runCommandLine.js'
import { writeTemporaryFile } from '../../__fixtures__/writeTemporaryFile.js'
import { listRegionLoad } from '../listRegionLoad.js'
import { listRefusals } from '../listRefusals.js'
import { listShiftedLoad } from '../listShiftedLoad.js'

const MINUTE = 60_000
const FIRST = 29_833_200

/** Account of half an hour, with a shift from akl to wlg and refusals during the middle ten minutes. */
const makeAccount = (): AccountReport => {
  const ledger = new AccountLedger({ host: 'akl-a-1', incarnation: 1 })
  const random = createSeededRandom(4)
  for (let minute = 0; minute < 30; minute += 1) {
    const isShifted = minute >= 10 && minute < 20
    for (let count = 0; count < 600; count += 1) {
      const at = (FIRST + minute) * MINUTE + count
      const region = isShifted && random() < 0.4 ? 'wlg' : 'akl'
      const isRefused = isShifted && random() < 0.1
      ledger.record({ at, caller: count % 3 === 0 ? '<b>school</b>' : 'council', service: 'balances', region, availabilityZone: `${region}-a`, callerRegion: 'akl', durationMs: isRefused ? 1 : 800, ...(isRefused ? { outcome: 'not-run', reason: random() < 0.5 ? 'queue-full' : 'shift-cap-full' } : { outcome: 'run', target: 'b1' }) })
    }
  }
  ledger.closeLast((FIRST + 29) * MINUTE)
  return { ...mergePages(ledger.listPages(), FIRST, FIRST + 29, FIRST + 40), unreadable: [] }
}

const data = {
  account: makeAccount(),
  regions: [{ name: 'akl', maxInFlight: 10 }, { name: 'wlg', maxInFlight: 10 }],
  shiftCaps: [{ name: 'akl-to-wlg', from: 'akl', to: 'wlg', maxInFlight: 4 }]
}

test('load is the mean number of requests in flight, by region and minute', () => {
  const points = listRegionLoad(data)
  assert.is(points.length, 60)
  assert.is(points.find(({ series }) => series === 'akl')?.value, 8)
  assert.is(points.find(({ series }) => series === 'wlg')?.value, 0)
})

test('a shift is the load of callers of one region in another', () => {
  const values = listShiftedLoad(data).map(({ value }) => value)
  assert.is(values[0], 0)
  assert.ok((values[15] ?? 0) > 2 && (values[15] ?? 0) < 4)
})

test('the refusals by reason add up to those of the account', () => {
  const counted = listRefusals(data).reduce((sum, { value }) => sum + value, 0)
  const refused = data.account.minutes.flatMap((minute) => minute.rows).filter((row) => row.outcome !== 'run').reduce((sum, row) => sum + row.count, 0)
  assert.is(counted, refused)
})

test('the page has its charts, loads no other resources, and escapes names', async () => {
  const fake = await FakeOperatorApi.start()
  fake.pages = data.account
  data.regions.forEach(({ name, maxInFlight }) => fake.resources.set(`Region/${name}`, { kind: 'Region', name, revision: 1, spec: { availabilityZones: [`${name}-a`], maxInFlight } }))
  fake.resources.set('ShiftCap/akl-to-wlg', { kind: 'ShiftCap', name: 'akl-to-wlg', revision: 1, spec: { from: 'akl', to: 'wlg', maxInFlight: 4 } })
  const file = writeTemporaryFile('')
  const result = await runCommandLine(['report', '--output', file, '--operator', fake.address])
  await fake.stop()
  assert.is(result.code, 0, result.stderr)
  const page = readFileSync(file, 'utf8')
  assert.is(page.match(/<svg/g)?.length, 3)
  assert.not.match(page, /<script|<link|src=|@import|url\(/)
  assert.match(page, '&lt;b&gt;school&lt;/b&gt;')
  assert.not.match(page, '<b>school')
})

test('a time span without requests gives a page that says so', async () => {
  const fake = await FakeOperatorApi.start()
  fake.pages = { ...data.account, minutes: [], pages: 0 }
  const file = writeTemporaryFile('')
  const result = await runCommandLine(['report', '--output', file, '--operator', fake.address])
  await fake.stop()
  assert.is(result.code, 0, result.stderr)
  assert.match(readFileSync(file, 'utf8'), 'No requests were counted.')
})

test.run()
