/** Usage of one organisation's allowance at several hosts together. */
export interface AllowanceUsage {
  /** Requests that were admitted within the window of the allowance. */
  letThrough: number
  /** Of those, the requests that leave the window within the next second and thus make room. */
  leavingPerSecond: number
  /** Requests a second that the organisation's callers send. */
  askedPerSecond: number
}
