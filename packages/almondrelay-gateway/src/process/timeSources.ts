/** Clocks of the system; all values are in milliseconds. */
export interface TimeSources {
  /** Monotonic time of the steady clock; stands still while the machine is suspended. */
  readSteady: () => number
  /** Time of day, read from the wall clock; advances during a suspension, and may be set by others. */
  readWall: () => number
  /** Time since the machine booted, suspensions included; more expensive to read than the other clocks. */
  readUptime: () => number
}
