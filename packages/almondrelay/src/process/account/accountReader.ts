import type { KeyValueStore } from '../platform/keyValueStore.js'
import type { PlatformEntry } from '../platform/platformEntry.js'
import { AccountPage } from './accountPage.js'
import type { AccountReport } from './accountReport.js'
import { formatPageKey } from './formatPageKey.js'
import { mergePages } from './mergePages.js'
import { parsePageKey } from './parsePageKey.js'

const PREFIX = 'account/'
/** Pages per list call: below 15 MB even when every page has its maximum size. */
const LIST_LIMIT = 16
const MINUTE_MS = 60_000
/**
 * Minutes whose pages may still be missing: the open minute and the one before, whose page is written with a delay (see
 * WRITE_SPREAD_MS in accountWriter.ts).
 */
const SETTLING_MINUTES = 2
/** Sorts after all minutes of an incarnation. */
const AFTER_MINUTES = '~'

/** Reads the account pages of all hosts from the platform and sums them. */
export class AccountReader {
  constructor (private readonly platform: KeyValueStore) {}

  /**
   * Returns the account of a range of wall time in milliseconds; the minutes of both ends are included. `wallNow`
   * determines for which minutes the hosts have had time to write their pages.
   *
   * @throws AlmondrelayError of kind `platform-unavailable`; a partial account is never returned.
   */
  async read (sinceMs: number, untilMs: number, wallNow: number, signal: AbortSignal): Promise<AccountReport> {
    const since = Math.floor(sinceMs / MINUTE_MS)
    const until = Math.floor(untilMs / MINUTE_MS)
    const pages: AccountPage[] = []
    const unreadable: string[] = []
    for await (const entry of this.listEntries(since, until, signal)) {
      const page = parsePage(entry.value)
      if (page === undefined) unreadable.push(entry.key)
      else pages.push(page)
    }
    return { ...mergePages(pages, since, until, Math.floor(wallNow / MINUTE_MS) - SETTLING_MINUTES), unreadable }
  }

  // Keys sort by host, incarnation and minute, so the listing skips minutes outside the range.
  private async * listEntries (since: number, until: number, signal: AbortSignal): AsyncGenerator<PlatformEntry> {
    let after = ''
    for (;;) {
      const entries = await this.platform.list(PREFIX, after, LIST_LIMIT, signal)
      if (entries.length === 0) return
      for (const entry of entries) {
        after = entry.key
        const key = parsePageKey(entry.key)
        if (key === undefined) continue
        if (key.minute < since) after = formatPageKey(key.host, key.incarnation, since - 1)
        else if (key.minute > until) after = `${PREFIX}${key.host}/${key.incarnation}/${AFTER_MINUTES}`
        else yield entry
        if (after !== entry.key) break
      }
    }
  }
}

const parsePage = (text: string): AccountPage | undefined => {
  try {
    return AccountPage.parse(JSON.parse(text))
  } catch {
    return undefined
  }
}
