/** Time for tasks that wait; tests pass a virtual one. */
export abstract class Clock {
  /** Monotonic time in milliseconds. */
  abstract getNow (): number
  /** Wall time in milliseconds since the Unix epoch; only for labels. */
  abstract getWallTime (): number
  /** Resolves after `ms`, or as soon as the signal aborts; never rejects. */
  abstract sleep (ms: number, signal: AbortSignal): Promise<void>
}
