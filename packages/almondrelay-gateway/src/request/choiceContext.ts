import type { TargetState } from './targetState.js'

/** What a choice among targets depends on besides the targets themselves. */
export interface ChoiceContext {
  /** Monotonic milliseconds. */
  now: number
  /** Hash of the object that the request is about; chance where it names none. */
  keyHash: number
  /** Region in which the key has its place. */
  homeRegion: string
  /** Milliseconds there and back to a region. */
  findTripMs: (region: string) => number
  /** Work on an object that the target holds, and on one that it doesn't. */
  warmMs: number
  coldMs: number
  /** Work on the requests that are ahead in a queue, on average. */
  meanMs: number
  /** Milliseconds within which an answer has its full value. */
  targetLatencyMs: number
  /** Whether the target may get this request now: not evacuated, allowed by the route, not yet tried. */
  isEligible: (target: TargetState) => boolean
  /** Whether this host may send one more request to a cold target. */
  allowCold: (target: TargetState) => boolean
  /** Whether the request goes to its key's own target though that one is warming up and another holds the object. */
  warmsUp: boolean
  /** Whether the request may leave its home region though that one has targets left. */
  allowAway: boolean
}
