import type { TargetEntry } from './targetEntry.js'

/** Fields that order the entries of one target. */
type EntryOrder = Pick<TargetEntry, 'incarnation' | 'sequence'>

/**
 * Whether an entry was written before the known one, although it was received after it.
 *
 * The store may carry out writes seconds late: a target announces that it will exit or is restarted, and afterwards a heartbeat
 * from before that stands in the store as its latest entry. If that entry were accepted, a target that takes no new requests
 * would get some again, and one that has nothing cached would get the rate of a warm one.
 */
export function isOlderEntry (entry: EntryOrder, known: EntryOrder): boolean {
  if (entry.incarnation === known.incarnation) return entry.sequence < known.sequence
  return known.incarnation !== undefined && (entry.incarnation ?? -Infinity) < known.incarnation
}
