/** One way's results over all seeds; parts of all requests. */
export interface WayComparison {
  name: string
  /** Mean value of the answer to a request. */
  worth: number
  inTime: number
  late: number
  refused: number
  failed: number
  /** Mean difference of worth to the first way, and half the width of its 95% confidence interval. */
  difference: number
  halfWidth: number
}
