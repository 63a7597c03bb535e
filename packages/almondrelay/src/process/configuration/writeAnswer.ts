/** What is known of a write by its id. */
export type WriteAnswer =
  | { outcome: 'accepted', revision: number }
  /**
   * It is not in the log up to this revision. Where its message may still be on the way, it can
   * only become the revision right after; a repeat with the same id can't take effect twice.
   */
  | { outcome: 'absent', revision: number }
  | { outcome: 'unknown' }
