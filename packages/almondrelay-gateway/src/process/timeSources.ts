/** Where a clock reads time from; all in milliseconds. */
export interface TimeSources {
  /** Rises evenly while the machine runs; stands still while it is suspended. */
  readSteady: () => number
  /** Time of day: counts a suspension, and may be set by others. */
  readWall: () => number
  /** Time since the machine's start, suspensions included; dearer to read than the others. */
  readUptime: () => number
}
