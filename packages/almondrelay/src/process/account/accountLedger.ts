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
 * Counts what became of each request by minute, until the pages are written to the platform.
 * Bounded: see accountLimits. Pure; wall time is an argument.
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
   * Counts a request that has ended. A wall clock that was set back does not reopen a minute:
   * its page may be written already, and a page is never changed. The open minute counts it.
   */
  record (entry: AccountEntry): void {
    this.closeMinutes(entry.at)
    this.counts.add(entry)
  }

  /** Makes pages of all minutes that are over at `wallNow`, empty ones too, so that a gap shows. */
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

  /** Closes the open minute too; for a planned stop, after the last request has ended. */
  closeLast (wallNow: number): void {
    this.closeMinutes(wallNow)
    if (this.openMinute !== undefined) this.closePage(this.openMinute, true)
  }

  /** Pages that are not known to be written, oldest first. */
  listPages (): readonly AccountPage[] {
    return this.pages
  }

  /** Drops the page of a minute, which the platform now holds. */
  removePage (minute: number): void {
    this.pages = this.pages.filter((page) => page.minute !== minute)
  }

  /** What was dropped because the platform could not be written for too long. */
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
