import type { HostEntry } from '../fleet/hostEntry.js'

/** Maximum addresses in one look-up answer. */
const MAX_ADDRESSES = 64

/**
 * Returns the hosts that a caller of a region should use: the hosts of its region, or all hosts if the region has none. A caller tries
 * another address only after a failure, so hosts of other regions are listed only if there are none in its own.
 */
export function listEntryHosts (live: readonly HostEntry[], region: string): HostEntry[] {
  const regionHosts = live.filter((entry) => entry.region === region)
  return (regionHosts.length > 0 ? regionHosts : [...live]).slice(0, MAX_ADDRESSES)
}
