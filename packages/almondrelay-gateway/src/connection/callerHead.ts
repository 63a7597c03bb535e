/** What the head of a caller's request says besides method, path and headers. */
export interface CallerHead {
  /** Undefined where the caller sent none. */
  id: string | undefined
  /** What the caller identifies itself by; undefined where it sent nothing, or nothing usable. Not to be logged. */
  organisationKey: string | undefined
  affinityKey: string | undefined
  /** Milliseconds that the caller waits; undefined where it doesn't say. */
  waitsMs: number | undefined
}
