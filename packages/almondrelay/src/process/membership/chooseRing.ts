/** Rings up to this size are joined all to all. */
const ALL_TO_ALL = 5

/**
 * Distances on a ring of `size` at which a member has its neighbours: the next on either side and
 * one chord of the square root on either side, so four neighbours at any size. What one member
 * learns reaches 60 in at most 8 steps.
 */
export function chooseRing (size: number): number[] {
  if (size <= ALL_TO_ALL) return Array.from({ length: Math.max(0, size - 1) }, (_, index) => index + 1)
  const chord = Math.max(2, Math.round(Math.sqrt(size)))
  return [1, -1, chord, -chord]
}
