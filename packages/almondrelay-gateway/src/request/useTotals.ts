/** One organisation's requests at one host since that host's start. */
export interface UseTotals {
  asked: number
  /** Less those that were given back, as they weren't run. */
  letThrough: number
}
