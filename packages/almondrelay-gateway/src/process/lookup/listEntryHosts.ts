import type { HostEntry } from '../fleet/hostEntry.js'

/** Addresses in one look-up answer at most. */
const MOST_ADDRESSES = 64

/**
 * The hosts that a caller of a region should use: those of its region, else all. A caller tries
 * another address only on failure, so hosts farther away are named only where none is near.
 */
export function listEntryHosts (live: readonly HostEntry[], region: string): HostEntry[] {
  const near = live.filter((entry) => entry.region === region)
  return (near.length > 0 ? near : [...live]).slice(0, MOST_ADDRESSES)
}
