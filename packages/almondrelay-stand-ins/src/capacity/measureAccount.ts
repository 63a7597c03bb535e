import { AccountLedger, type AccountEntry } from 'almondrelay'
import type { CapacitySection } from './capacitySection.js'
import { computeLineFit } from './computeLineFit.js'
import { measureHeap } from './measureHeap.js'
import { measureMs } from './measureMs.js'
import { targetSize } from './targetSize.js'

const ROWS = [10, 100, 500, 1_000, 2_000]
const RECORDS = 100_000
const MINUTE_S = 60
const VALUE_LIMIT = 1e6
/** Pages that a host keeps while the platform can't be written. */
const KEPT_PAGES = 60

/** Bytes of an account page, and time to count a request. */
export function measureAccount (): CapacitySection {
  const bytes = ROWS.map((rows) => ({ x: rows, y: JSON.stringify(makePage(rows)).length }))
  const heap = ROWS.map((rows) => ({ x: rows, y: measureHeap(() => Array.from({ length: KEPT_PAGES }, () => makePage(rows))).bytes / KEPT_PAGES }))
  const time = ROWS.map((rows) => ({ x: rows, y: measureRecord(rows) }))
  const full = bytes.at(-1)?.y ?? 0
  const usual = bytes.find(({ x }) => x === 100)?.y ?? 0
  return {
    title: 'Account',
    slopes: [
      { what: 'a page', xName: 'rows', unit: 'bytes', points: bytes },
      { what: 'memory of a page', xName: 'rows', unit: 'bytes', points: heap },
      { what: 'time to count a request', xName: 'rows', unit: 'us', points: time }
    ],
    products: [
      { what: 'a full page of 2,000 rows', value: full, unit: 'bytes', limit: VALUE_LIMIT },
      { what: 'bytes a second of pages of 100 rows', value: usual / MINUTE_S, unit: 'bytes/s', limit: targetSize.controlBytesPerSecond },
      { what: 'bytes a second of full pages', value: full / MINUTE_S, unit: 'bytes/s', limit: targetSize.controlBytesPerSecond },
      { what: 'memory of an hour of full pages in an outage', value: computeLineFit(heap).slope * 2_000 * KEPT_PAGES, unit: 'bytes', limit: targetSize.memoryBytes },
      { what: 'writes a second, one page a host and minute', value: targetSize.hosts / MINUTE_S, unit: '1/s', limit: targetSize.platformWritesPerSecond }
    ]
  }
}

const makeEntry = (index: number): AccountEntry => ({ at: 0, caller: `caller-${index}`, service: 'balances', target: `balances-akl-a-${index % 16}`, region: 'akl', availabilityZone: 'akl-a', callerRegion: 'akl', outcome: 'run', durationMs: 12.5 })

const makePage = (rows: number): unknown => {
  const ledger = new AccountLedger({ host: 'akl-a-1', incarnation: 1_790_000_000_000 })
  for (let index = 0; index < rows * 10; index += 1) ledger.record(makeEntry(index % rows))
  ledger.closeMinutes(60_000)
  return ledger.listPages()[0]
}

const measureRecord = (rows: number): number => {
  const ledger = new AccountLedger({ host: 'akl-a-1', incarnation: 1 })
  const entries = Array.from({ length: rows }, (_, index) => makeEntry(index))
  return measureMs(() => { for (let index = 0; index < RECORDS; index += 1) ledger.record(entries[index % rows] as AccountEntry) }) * 1_000 / RECORDS
}
