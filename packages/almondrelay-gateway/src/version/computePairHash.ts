/** Computes a 32-bit hash of two hashes: the weight of a target, host or region for a key in rendezvous hashing. */
export function computePairHash (first: number, second: number): number {
  let mixed = Math.imul(first ^ Math.imul(second, 0x9e3779b1), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
