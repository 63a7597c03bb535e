import type { RosterHost } from './rosterHost.js'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Computes FNV-1a over the UTF-16 code units, with the finalizer of MurmurHash3 so that similar keys get well-distributed hashes. */
function computeHash (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Ranks hosts by rendezvous (highest random weight) hashing of a key, highest weight first. A join or loss moves
 * only the keys for which the joining or lost host ranks first or second. Hosts with equal weights are ordered by name.
 */
export function rankHosts (key: string, hosts: readonly RosterHost[]): RosterHost[] {
  return hosts
    .map((host) => ({ host, weight: computeHash(`${host.name}\n${key}`) }))
    .sort((left, right) => right.weight - left.weight || (left.host.name < right.host.name ? -1 : 1))
    .map(({ host }) => host)
}
