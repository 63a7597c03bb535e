import type { SecondPlaces } from './secondPlaces.js'
import type { TargetState } from './targetState.js'

/** Everything that the choice of a target depends on besides the targets themselves. */
export interface ChoiceContext {
  /** Monotonic milliseconds. */
  now: number
  /** Hash of the key of the object that the request is about; random where the request names no object. */
  keyHash: number
  /** Home region of the key: the region to which the key's hash leads first. */
  homeRegion: string
  /** Returns the round-trip time to a region, in milliseconds. */
  findRoundTripMs: (region: string) => number
  /** Expected work, in milliseconds, on an object that the target has cached (`warmMs`) and on one that it hasn't (`coldMs`). */
  warmMs: number
  coldMs: number
  /** Mean work, in milliseconds, on the requests that are ahead in a queue. */
  meanMs: number
  /** What is known of keys' second targets; used only where targets state their speeds. */
  places?: SecondPlaces
  /** Leaves out what targets state about their load, to find out what a statement changed. */
  ignoresStatements?: boolean
  /** Latency target: milliseconds within which an answer has its full value. */
  targetLatencyMs: number
  /** Whether the target may get this request: it isn't evacuated, the route allows it, and it hasn't been tried yet. */
  isEligible: (target: TargetState) => boolean
  /** Whether this host may send one more request to a cold target. */
  allowCold: (target: TargetState) => boolean
  /** Whether the target takes a request of this host now, by the request limit that it has announced and the pauses that it has asked for. */
  allowSend: (target: TargetState) => boolean
  /** Whether the target has announced a request limit, and takes requests of this host up to it. */
  isLimited: (target: TargetState) => boolean
  /** Whether the request is used to warm up its key's preferred target, although another target has the object cached. */
  isWarmUpRequest: boolean
  /** Whether the request may leave its home region although usable targets are left there. */
  canSpill: boolean
}
