/** Milliseconds that a target works on an object that it has cached, and on one that it hasn't. */
export interface WorkTimes {
  warmMs: number
  coldMs: number
}
