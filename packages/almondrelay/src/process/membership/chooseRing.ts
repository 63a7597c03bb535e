/** Rings up to this size are fully meshed. */
const MAX_FULL_MESH_SIZE = 5

interface RingDistances {
  /** Distances to the next member on either side. */
  near: number[]
  /** Chords, so that a change crosses the ring in few steps. */
  far: number[]
}

/**
 * Chooses the distances on a ring of `size` at which a member has its neighbours: the next one on either side and
 * one chord of the square root of `size` on either side, so four neighbours at any size. A change known to one member
 * reaches all of a ring of 60 in at most 8 steps.
 */
export function chooseRing (size: number): RingDistances {
  if (size <= 1) return { near: [], far: [] }
  if (size === 2) return { near: [1], far: [] }
  if (size <= MAX_FULL_MESH_SIZE) return { near: [1, -1], far: Array.from({ length: size - 3 }, (_, index) => index + 2) }
  const chord = Math.max(2, Math.round(Math.sqrt(size)))
  return { near: [1, -1], far: [chord, -chord] }
}
