import type { ClassWork } from './classWork.js'

/** What the callers of several hosts ask of one service, as rates over about the last second. */
export interface WorkSums {
  /** By the hash of the organisation's name; callers without an organisation count as one with hash 0. */
  organisations: ReadonlyMap<number, ClassWork>
  /** By the hash of the route's name. */
  routes: ReadonlyMap<number, ClassWork>
  /** Milliseconds of work a second on the requests that were sent to targets. */
  sentMs: number
  /** Requests a second that were not refused for being beyond a share. */
  requestsPerSecond: number
  /** Of those, the requests that were refused because every target was full, or whose expected wait was beyond their latency objective. */
  turnedAwayPerSecond: number
}
