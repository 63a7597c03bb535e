/** The difference between two values of a key. */
export interface ValuePatch {
  /** Revision of the value from which the difference was made; of the same era. */
  baseRevision: number
  /** Hash of the new value. */
  hash: number
  /** Compressed steps that make the new value. */
  steps: Uint8Array
}
