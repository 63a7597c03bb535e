/** Totals of one organisation's requests at one host since that host's start. */
export interface UsageTotals {
  asked: number
  /** Admitted requests, less those that were taken back because they weren't run. */
  letThrough: number
}
