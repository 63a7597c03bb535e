/** Rings up to this size are joined all to all. */
const ALL_TO_ALL = 5

interface RingDistances {
  /** To the next on either side. */
  near: number[]
  /** Chords, so that word crosses the ring in few steps. */
  far: number[]
}

/**
 * Distances on a ring of `size` at which a member has its neighbours: the next on either side and
 * one chord of the square root on either side, so four neighbours at any size. What one member
 * learns reaches 60 in at most 8 steps.
 */
export function chooseRing (size: number): RingDistances {
  if (size <= 1) return { near: [], far: [] }
  if (size === 2) return { near: [1], far: [] }
  if (size <= ALL_TO_ALL) return { near: [1, -1], far: Array.from({ length: size - 3 }, (_, index) => index + 2) }
  const chord = Math.max(2, Math.round(Math.sqrt(size)))
  return { near: [1, -1], far: [chord, -chord] }
}
