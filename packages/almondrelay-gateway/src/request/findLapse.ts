/** Part of all targets whose entries vanish at once that shows a lapse and not as many ends. */
const LAPSE_PART = 0.5
/** Targets that must vanish at once for that; fewer may well end together. */
const LEAST_LAPSED = 3

interface EntryView {
  /** Targets known before, with the revisions at which their entries came into being. */
  known: ReadonlyMap<string, number>
  /** Those whose entries stand now. */
  present: ReadonlyMap<string, number>
}

/**
 * Whether entries that are missing may have lapsed while the store was away, and are about to be written again.
 *
 * A host that was cut off by itself sees the same silence as one whose store was down, and must not keep targets that
 * left meanwhile. After a lapse the others' entries are new ones, or there are none yet; without one they are as before.
 */
export function findLapse ({ known, present }: EntryView): boolean {
  const kept = [...known.keys()].filter((id) => present.has(id))
  const missing = known.size - kept.length
  if (kept.some((id) => present.get(id) !== known.get(id))) return true
  return missing >= LEAST_LAPSED && missing >= known.size * LAPSE_PART
}
