/** What became of the changes that the platform had lost. */
export interface RestoredChanges {
  /** Revisions of the changes that were written again. */
  written: number[]
  /** Write ids of the changes that were made again under a new revision, as another change had taken theirs. */
  renumbered: string[]
  /** Changes that are not in force any more, and why. */
  dropped: Array<{ writeId: string, reason: string }>
}
