import type { AccountEntry } from './accountEntry.js'
import { accountLimits } from './accountLimits.js'
import { AccountMinute } from './accountMinute.js'
import type { AccountPage } from './accountPage.js'

interface LedgerOptions {
  host: string
  incarnation: number
  maxRows?: number
  maxPageBytes?: number
  maxPages?: number
}

const MINUTE_MS = 60_000

/**
 * Counts the outcomes of requests per minute and keeps the resulting pages until they are written to the platform.
 * Memory is bounded by accountLimits. Does no I/O and reads no clock; wall time is passed as an argument.
 */
export class AccountLedger {
  private readonly limits: Required<Omit<LedgerOptions, 'host' | 'incarnation'>>
  private openMinute: number | undefined
  private counts: AccountMinute
  private pages: AccountPage[] = []
  private readonly lost = { minutes: 0, requests: 0 }

  constructor (private readonly options: LedgerOptions) {
    this.limits = { ...accountLimits, ...options }
    this.counts = new AccountMinute(this.limits)
  }

  /**
   * Counts a finished request. When the wall clock has been set back, the request is counted in the open minute:
   * the page of an earlier minute may already be written, and pages are immutable.
   */
  record (entry: AccountEntry): void {
    this.closeMinutes(entry.at)
    this.counts.add(entry)
  }

  /**
   * Creates a page for every minute that has ended at `wallNow`, including minutes without requests, so that a missing
   * page indicates lost data.
   */
  closeMinutes (wallNow: number): void {
    const minute = Math.floor(wallNow / MINUTE_MS)
    this.openMinute ??= minute
    if (minute <= this.openMinute) return
    this.closePage(this.openMinute, false)
    const firstIdle = Math.max(this.openMinute + 1, minute - this.limits.maxPages)
    this.lost.minutes += firstIdle - this.openMinute - 1
    for (let idle = firstIdle; idle < minute; idle += 1) this.closePage(idle, false)
    this.openMinute = minute
  }

  /** Closes the open minute as well. Called during a planned stop, after the last request has finished. */
  closeLast (wallNow: number): void {
    this.closeMinutes(wallNow)
    if (this.openMinute !== undefined) this.closePage(this.openMinute, true)
  }

  /** Lists the pages whose write has not been confirmed, oldest first. */
  listPages (): readonly AccountPage[] {
    return this.pages
  }

  /** Removes the page of a minute once the platform has stored it. */
  removePage (minute: number): void {
    this.pages = this.pages.filter((page) => page.minute !== minute)
  }

  /** Returns the numbers of minutes and requests dropped because writes to the platform failed for too long. */
  getLost (): Readonly<{ minutes: number, requests: number }> {
    return this.lost
  }

  private closePage (minute: number, last: boolean): void {
    if (this.pages.length >= this.limits.maxPages) this.dropOldest()
    this.pages.push({
      host: this.options.host,
      incarnation: this.options.incarnation,
      minute,
      rows: this.counts.listRows(),
      folded: this.counts.folded,
      lost: { ...this.lost },
      last
    })
    this.counts = new AccountMinute(this.limits)
  }

  private dropOldest (): void {
    const oldest = this.pages.shift()
    this.lost.minutes += 1
    this.lost.requests += oldest?.rows.reduce((sum, row) => sum + row.count, 0) ?? 0
  }
}
