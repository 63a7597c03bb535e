/** Counts of a replayed trace. */
export interface ReplaySummary {
  lines: number
  same: number
  different: number
  /** Lines that could not be run again, by kind and reason. */
  passed: Record<string, number>
}
