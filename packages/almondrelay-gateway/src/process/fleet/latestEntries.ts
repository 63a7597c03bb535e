import { isOlderEntry } from '../../request/isOlderEntry.js'
import { putBounded } from '../../request/putBounded.js'
import type { TargetEntry } from '../../request/targetEntry.js'

/** Targets whose last entry is remembered, those that are gone included; the one that was heard of longest ago is forgotten first. */
const MOST_REMEMBERED = 10_000

/** The newest entry that each target has written, also after its key is gone: a late write may bring an older one back. */
export class LatestEntries {
  private readonly entries = new Map<string, Pick<TargetEntry, 'incarnation' | 'sequence'>>()

  /** Takes an entry in; false for one that is older than what is known of its target. */
  accept ({ id, incarnation, sequence }: TargetEntry): boolean {
    const known = this.entries.get(id)
    if (known !== undefined && isOlderEntry({ incarnation, sequence }, known)) return false
    putBounded(this.entries, id, { incarnation, sequence }, MOST_REMEMBERED)
    return true
  }
}
