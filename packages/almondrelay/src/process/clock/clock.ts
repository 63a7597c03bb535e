/** The two clocks of a process. Decisions get their readings as arguments. */
export abstract class Clock {
  /** Monotonic milliseconds; runs on while the process is stopped by a signal. */
  abstract now (): number
  /** Milliseconds since the Unix epoch, advanced by the monotonic clock, so that it never steps. */
  abstract readWall (): number
}
