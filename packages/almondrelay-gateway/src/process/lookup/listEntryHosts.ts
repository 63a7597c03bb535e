import type { HostEntry } from '../fleet/hostEntry.js'

/** Maximum addresses in one look-up answer. */
const MOST_ADDRESSES = 64

/**
 * Returns the hosts that a caller of a region should use: the hosts of its region, or all hosts if the region has none. A caller tries
 * another address only after a failure, so hosts of other regions are listed only if there are none in its own.
 */
export function listEntryHosts (live: readonly HostEntry[], region: string): HostEntry[] {
  const near = live.filter((entry) => entry.region === region)
  return (near.length > 0 ? near : [...live]).slice(0, MOST_ADDRESSES)
}
