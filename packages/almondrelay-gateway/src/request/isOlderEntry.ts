import type { TargetEntry } from './targetEntry.js'

/** What orders the entries of one target. */
type EntryOrder = Pick<TargetEntry, 'incarnation' | 'sequence'>

/**
 * Whether an entry was written before the one that is known, though it arrived after it.
 *
 * Answers writes that the store carries out seconds late: a target announces its end or is started again, and a heartbeat
 * from before then stands in the store as its newest word. Believed, a target that takes no new work any more would get
 * some again, and one that holds nothing would get the rate of one that is warm.
 */
export function isOlderEntry (entry: EntryOrder, known: EntryOrder): boolean {
  if (entry.incarnation === known.incarnation) return entry.sequence < known.sequence
  return known.incarnation !== undefined && (entry.incarnation ?? -Infinity) < known.incarnation
}
