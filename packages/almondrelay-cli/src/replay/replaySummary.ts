/** Counts of a replayed trace. */
export interface ReplaySummary {
  lines: number
  same: number
  different: number
  /** Number of lines that could not be replayed, by kind of decision and reason. */
  passed: Record<string, number>
}
