import type { PlatformEntry } from './platformEntry.js'

/** Events after a sequence number, in order. */
export interface PlatformWatchResult {
  events: Array<PlatformEntry & { sequence: number, deleted: boolean }>
  /** Sequence number to pass to the next watch. */
  sequence: number
}
