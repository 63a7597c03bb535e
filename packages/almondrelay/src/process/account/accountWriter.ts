import type { Random } from '../../request/random.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'
import type { AccountLedger } from './accountLedger.js'
import type { AccountPage } from './accountPage.js'
import { formatPageKey } from './formatPageKey.js'

interface WriterOptions {
  wallNow: () => number
  /** Resolves after `ms`, or when the signal aborts. */
  sleep: (ms: number, signal: AbortSignal) => Promise<void>
  random: Random
  /** Called for each failed write. */
  logFailure: (error: Error, waitMs: number) => void
}

const MINUTE_MS = 60_000
const POLL_INTERVAL_MS = 1_000
const INITIAL_BACKOFF_MS = 1_000
const MAX_BACKOFF_MS = 30_000
/** Hosts spread their writes over this part of a minute: 4,800 hosts then make 160 writes per second for 30 s instead of all at once. */
const WRITE_SPREAD_MS = 30_000
/** Number of written pages that are kept, because the platform may return from a copy without them: a page closes each minute. */
const MAX_RECENT_PAGES = 3
/** Time limit for writing the last pages during a planned stop. */
const FINAL_WRITE_TIMEOUT_MS = 3_000

/** Writes the ledger's pages to the platform sequentially, oldest first. */
export class AccountWriter {
  private readonly delayMs: number
  private backoffMs = INITIAL_BACKOFF_MS
  private readonly recentPages: AccountPage[] = []
  /** Written pages that the platform may have lost, and when they are written again. */
  private lostPages: AccountPage[] = []
  private restoreAt = 0

  constructor (private readonly ledger: AccountLedger, private readonly platform: KeyValueStore, private readonly options: WriterOptions) {
    this.delayMs = Math.floor(options.random() * WRITE_SPREAD_MS)
  }

  /** Writes until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wallNow = this.options.wallNow()
      this.ledger.closeMinutes(wallNow)
      const due = this.ledger.listPages().filter((page) => (page.minute + 1) * MINUTE_MS + this.delayMs <= wallNow)
      const written = await this.writePages([...this.listLostPages(wallNow), ...due], signal)
      await this.options.sleep(written ? POLL_INTERVAL_MS : this.widenBackoff(), signal)
    }
  }

  /**
   * Writes all remaining pages. Called during a planned stop, after the last request has finished.
   * Returns the number of pages that could not be written.
   *
   * @param limitMs Time limit in milliseconds; the timer takes whole ones.
   */
  async finish (limitMs = FINAL_WRITE_TIMEOUT_MS): Promise<number> {
    this.ledger.closeLast(this.options.wallNow())
    await this.writePages([...this.ledger.listPages()], AbortSignal.timeout(Math.max(0, Math.floor(limitMs))))
    return this.ledger.listPages().length
  }

  /**
   * Writes the last pages again, as the platform has returned from a copy that may lack them. The writes of the hosts are spread; a page
   * that is still there is not counted twice.
   */
  handlePlatformReturn (): void {
    const { wallNow, random } = this.options
    this.lostPages = [...this.recentPages]
    this.restoreAt = wallNow() + random() * WRITE_SPREAD_MS
  }

  private listLostPages (wallNow: number): readonly AccountPage[] {
    return wallNow < this.restoreAt ? [] : this.lostPages
  }

  private async writePages (pages: readonly AccountPage[], signal: AbortSignal): Promise<boolean> {
    for (const page of pages) {
      try {
        await this.writePage(page, signal)
      } catch (error) {
        if (!signal.aborted) this.options.logFailure(error as Error, this.backoffMs)
        return false
      }
      this.ledger.removePage(page.minute)
      this.keepPage(page)
      this.backoffMs = INITIAL_BACKOFF_MS
    }
    return true
  }

  // A page is written again when the answer to its write was lost. The account must not count that page twice: the key
  // consists of host, incarnation and minute, and the write succeeds only for an absent key, so the repeated write has
  // no effect.
  private async writePage (page: AccountPage, signal: AbortSignal): Promise<void> {
    await this.platform.put(formatPageKey(page.host, page.incarnation, page.minute), JSON.stringify(page), 0, signal)
  }

  private keepPage (page: AccountPage): void {
    this.lostPages = this.lostPages.filter((lost) => lost !== page)
    if (this.recentPages.includes(page)) return
    this.recentPages.push(page)
    if (this.recentPages.length > MAX_RECENT_PAGES) this.recentPages.shift()
  }

  private widenBackoff (): number {
    const waitMs = this.backoffMs * (0.5 + this.options.random() / 2)
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2)
    return waitMs
  }
}
