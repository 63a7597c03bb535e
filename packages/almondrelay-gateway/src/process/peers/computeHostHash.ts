import { computeHash } from '../../version/computeHash.js'
import type { HostEntry } from '../fleet/hostEntry.js'

/** Computes the hash that identifies the incarnation of a host in reports between hosts. */
export function computeHostHash ({ name, incarnation }: Pick<HostEntry, 'name' | 'incarnation'>): number {
  return computeHash(`${name} ${incarnation}`)
}
