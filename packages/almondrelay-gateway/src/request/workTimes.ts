/** Milliseconds that a target works on an object that it holds, and on one that it doesn't. */
export interface WorkTimes {
  warmMs: number
  coldMs: number
}
