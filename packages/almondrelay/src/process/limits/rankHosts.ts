import type { RosterHost } from './rosterHost.js'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** FNV-1a over the UTF-16 units, with the finalizer of MurmurHash3 so that like keys spread. */
function computeHash (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Hosts by rendezvous (highest random weight) hashing of a key, best first. A join or loss moves
 * only the keys that the joining or lost host ranks first or second for. Equal hashes fall back to the name.
 */
export function rankHosts (key: string, hosts: readonly RosterHost[]): RosterHost[] {
  return hosts
    .map((host) => ({ host, weight: computeHash(`${host.name}\n${key}`) }))
    .sort((left, right) => right.weight - left.weight || (left.host.name < right.host.name ? -1 : 1))
    .map(({ host }) => host)
}
