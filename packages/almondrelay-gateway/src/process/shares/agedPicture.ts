import type { OverloadPicture } from '../../request/overloadPicture.js'

/** Shares of one overloaded service, as computed from counts made some time ago. */
export interface AgedPicture {
  picture: OverloadPicture
  /** Milliseconds since the oldest of the counts was made. */
  ageMs: number
}
