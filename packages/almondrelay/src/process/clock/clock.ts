/** The clocks of a process; decisions get their readings as arguments, tests pass a virtual one. */
export abstract class Clock {
  /** Monotonic milliseconds; runs on while the process is stopped by a signal. */
  abstract getNow (): number
  /** Milliseconds since the Unix epoch, advanced by the monotonic clock, so that it never steps. */
  abstract getWallTime (): number
  /** Resolves after `ms`, or as soon as the signal aborts; never rejects. */
  abstract sleep (ms: number, signal: AbortSignal): Promise<void>
}
