/** Source of time and delays; tests use a virtual clock. */
export abstract class Clock {
  /** Returns monotonic time in milliseconds. */
  abstract getNow (): number
  /** Returns wall time in milliseconds since the Unix epoch; only for labels. */
  abstract getWallTime (): number
  /** Resolves after `ms`, or as soon as the signal aborts; never rejects. */
  abstract sleep (ms: number, signal: AbortSignal): Promise<void>
}
