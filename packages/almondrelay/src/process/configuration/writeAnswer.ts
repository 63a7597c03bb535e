/** Known state of a write, looked up by its id. */
export type WriteAnswer =
  | { outcome: 'accepted', revision: number }
  /**
   * The write is not in the log up to this revision. If its message may still be in transit, the write can only
   * become the next revision; a repeat with the same id can't take effect twice.
   */
  | { outcome: 'absent', revision: number }
  | { outcome: 'unknown' }
