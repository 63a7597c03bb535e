/**
 * Share of all known targets whose entries must be missing at once for that to count as a lapse of entries and not as so many
 * exits.
 */
const MIN_LAPSED_SHARE = 0.5
/** Minimum number of targets whose entries must be missing at once; fewer may well exit together. */
const MIN_LAPSED_ENTRIES = 3

interface EntryView {
  /** Targets known before, by id, with the revisions at which their entries were created. */
  known: ReadonlyMap<string, number>
  /** Targets whose entries exist now, in the same form. */
  present: ReadonlyMap<string, number>
}

/**
 * Whether missing entries may have lapsed while the store was unavailable, and are about to be written again. The caller knows by
 * `StoreHealth` that it may have been, and counts a target that was started again as unchanged.
 *
 * To a host that alone was cut off from the store, this looks the same as an outage of the store, but such a host must not keep
 * targets that left meanwhile. The entries of the other targets tell the two apart: after a lapse they are new ones, or there are
 * none yet; otherwise they are the same as before.
 */
export function isLapseLikely ({ known, present }: EntryView): boolean {
  const kept = [...known.keys()].filter((id) => present.has(id))
  const missing = known.size - kept.length
  if (kept.some((id) => present.get(id) !== known.get(id))) return true
  return missing >= MIN_LAPSED_ENTRIES && missing >= known.size * MIN_LAPSED_SHARE
}
