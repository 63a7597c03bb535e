/** What one load program measured. */
export interface RateFigures {
  /** Answers with status 200. */
  answered: number
  /** Other answers by status and reason, and lost ones. */
  failures: Record<string, number>
  durationMs: number
  p50Ms: number
  p99Ms: number
}
