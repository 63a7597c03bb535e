/** Length in bytes up to which changes are read in any case: that of a page of a listing. */
const MIN_BYTES = 1024 * 1024

/**
 * Computes the length in bytes up to which changes of the store are read. If a key was written often, its changes are longer than the last
 * values of all keys together, and a host that is behind catches up sooner by a full read.
 *
 * @param fullReadBytes length of the last full read
 */
export function computeMaxChangesBytes (fullReadBytes: number): number {
  return Math.max(MIN_BYTES, fullReadBytes)
}
