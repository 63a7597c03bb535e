import { isOlderEntry } from '../../request/isOlderEntry.js'
import { putBounded } from '../../request/putBounded.js'
import type { TargetEntry } from '../../request/targetEntry.js'

/** Maximum number of targets whose last entry is kept, removed targets included; the least recently updated one is dropped first. */
const MAX_TARGETS = 10_000

/** The newest entry of each target, kept after its key was removed too: a delayed write may bring an older entry back. */
export class LatestEntries {
  private readonly entries = new Map<string, Pick<TargetEntry, 'incarnation' | 'sequence'>>()

  /** Forgets a target: its next entry is accepted whatever it states. */
  drop (id: string): void {
    this.entries.delete(id)
  }

  /** Records an entry; returns false if a newer one of the same target is known. */
  accept ({ id, incarnation, sequence }: TargetEntry): boolean {
    const known = this.entries.get(id)
    if (known !== undefined && isOlderEntry({ incarnation, sequence }, known)) return false
    putBounded(this.entries, id, { incarnation, sequence }, MAX_TARGETS)
    return true
  }
}
