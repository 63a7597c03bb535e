/** Value of one series in one minute. */
export interface TimePoint {
  /** Milliseconds since the Unix epoch. */
  time: number
  series: string
  value: number
}
