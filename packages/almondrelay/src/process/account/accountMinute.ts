import type { AccountEntry } from './accountEntry.js'
import { accountDimensions } from './accountDimensions.js'
import type { AccountRow } from './accountRow.js'
import { OTHER_CALLER } from './otherCaller.js'

interface MinuteLimits {
  maxRows: number
  maxPageBytes: number
}

const MAX_NAME_LENGTH = 128

/** The request counts of one minute, with a limited number of rows and bytes. */
export class AccountMinute {
  /** Requests counted in the rows of OTHER_CALLER. */
  folded = 0
  /** Requests counted in all rows. */
  requests = 0
  private readonly rows = new Map<string, AccountRow>()
  private bytes = 0

  constructor (private readonly limits: MinuteLimits) {}

  add (entry: AccountEntry): void {
    const row = this.findRow(entry) ?? this.findOtherRow(entry)
    row.count += 1
    row.durationMs += entry.durationMs
    row.maxDurationMs = Math.max(row.maxDurationMs, entry.durationMs)
    this.requests += 1
  }

  listRows (): AccountRow[] {
    return [...this.rows.values()]
  }

  // Rows are limited because a caller that sends a new name with each request would otherwise exhaust the host's memory,
  // and the platform would reject the whole page for exceeding its limit per value.
  private findRow (entry: AccountEntry): AccountRow | undefined {
    const row = makeRow(entry)
    const key = makeKey(row)
    const present = this.rows.get(key)
    if (present !== undefined) return present
    const bytes = JSON.stringify(row).length
    if (this.rows.size >= this.limits.maxRows || this.bytes + bytes > this.limits.maxPageBytes) return undefined
    this.bytes += bytes
    this.rows.set(key, row)
    return row
  }

  // Only outcome and reason are kept, so the number of these rows is at most the number of outcomes times that of reasons.
  private findOtherRow (entry: AccountEntry): AccountRow {
    const row = { ...makeRow(entry), caller: OTHER_CALLER, service: '', target: '', region: '', availabilityZone: '', callerRegion: '' }
    const key = makeKey(row)
    const present = this.rows.get(key)
    this.folded += 1
    if (present !== undefined) return present
    this.rows.set(key, row)
    return row
  }
}

const makeRow = (entry: AccountEntry): AccountRow => ({
  caller: entry.caller.slice(0, MAX_NAME_LENGTH),
  service: entry.service.slice(0, MAX_NAME_LENGTH),
  target: entry.target ?? '',
  region: entry.region,
  availabilityZone: entry.availabilityZone,
  callerRegion: entry.callerRegion,
  outcome: entry.outcome,
  reason: entry.reason ?? '',
  count: 0,
  durationMs: 0,
  maxDurationMs: 0
})

const makeKey = (row: AccountRow): string => accountDimensions.map((dimension) => row[dimension]).join('\n')
