import type { WorkSums } from '../../request/workSums.js'

/** Work that callers ask of one service, as counted some time ago. */
export interface AgedWork {
  work: WorkSums
  /** Milliseconds since the oldest of the counts was made. */
  ageMs: number
}
