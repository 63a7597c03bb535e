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
/** Time limit for writing the last pages during a planned stop. */
const FINAL_WRITE_TIMEOUT_MS = 3_000

/** Writes the ledger's pages to the platform sequentially, oldest first. */
export class AccountWriter {
  private readonly delayMs: number
  private backoffMs = INITIAL_BACKOFF_MS

  constructor (private readonly ledger: AccountLedger, private readonly platform: KeyValueStore, private readonly options: WriterOptions) {
    this.delayMs = Math.floor(options.random() * WRITE_SPREAD_MS)
  }

  /** Writes until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wallNow = this.options.wallNow()
      this.ledger.closeMinutes(wallNow)
      const due = this.ledger.listPages().filter((page) => (page.minute + 1) * MINUTE_MS + this.delayMs <= wallNow)
      const written = await this.writePages(due, signal)
      await this.options.sleep(written ? POLL_INTERVAL_MS : this.widenBackoff(), signal)
    }
  }

  /**
   * Writes all remaining pages. Called during a planned stop, after the last request has finished.
   * Returns the number of pages that could not be written.
   *
   * @param limitMs Time limit in milliseconds.
   */
  async finish (limitMs = FINAL_WRITE_TIMEOUT_MS): Promise<number> {
    this.ledger.closeLast(this.options.wallNow())
    await this.writePages([...this.ledger.listPages()], AbortSignal.timeout(limitMs))
    return this.ledger.listPages().length
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

  private widenBackoff (): number {
    const waitMs = this.backoffMs * (0.5 + this.options.random() / 2)
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2)
    return waitMs
  }
}
