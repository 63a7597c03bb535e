import { isOlderEntry } from '../../request/isOlderEntry.js'
import { putBounded } from '../../request/putBounded.js'
import type { TargetEntry } from '../../request/targetEntry.js'

/** Maximum number of targets whose last entry is kept, removed targets included; the least recently updated one is dropped first. */
const MAX_TARGETS = 10_000
/**
 * Milliseconds within which a running target has written a heartbeat. If another incarnation goes on writing for that long and the known
 * one doesn't, the known one has ended.
 */
const MAX_HEARTBEAT_GAP_MS = 2_000

type EntryOrder = Pick<TargetEntry, 'incarnation' | 'sequence'>

interface KnownEntry extends EntryOrder {
  /** Entry that looks older than the known one, and when its incarnation first wrote since; undefined if there was none since. */
  rival: EntryOrder & { since: number } | undefined
}

/**
 * The newest entry of each target, kept after its key was removed too: a delayed write may bring an older entry back.
 *
 * Incarnations are ordered by the target's clock, which may jump: one that started later may state an earlier start. It tells itself apart
 * from a delayed write as it goes on writing heartbeats, while the known incarnation doesn't any more.
 */
export class LatestEntries {
  private readonly entries = new Map<string, KnownEntry>()

  /** Forgets a target: its next entry is accepted whatever it states. */
  drop (id: string): void {
    this.entries.delete(id)
  }

  /** Records an entry; returns false if a newer one of the same target is known. */
  accept ({ id, incarnation, sequence }: TargetEntry, now: number): boolean {
    const known = this.entries.get(id)
    const entry = { incarnation, sequence }
    if (known !== undefined && isOlderEntry(entry, known) && !hasReplaced(known, entry, now)) return false
    putBounded(this.entries, id, { ...entry, rival: undefined }, MAX_TARGETS)
    return true
  }
}

/** Whether an incarnation that looks older has written often enough to have replaced the known one. Records its entry. */
const hasReplaced = (known: KnownEntry, entry: EntryOrder, now: number): boolean => {
  const { rival } = known
  if (rival === undefined || rival.incarnation !== entry.incarnation || entry.sequence < rival.sequence) {
    known.rival = { ...entry, since: now }
    return false
  }
  return entry.sequence > rival.sequence && now - rival.since >= MAX_HEARTBEAT_GAP_MS
}
