import type { PlatformEntry } from './platformEntry.js'

/** Events after a sequence, in order. */
export interface PlatformWatchResult {
  events: Array<PlatformEntry & { sequence: number, deleted: boolean }>
  /** Pass it to the next watch. */
  sequence: number
}
