/** Load of a target as it stated it at one moment. */
export interface LoadStatement {
  running: number
  waiting: number
  /** Time that work takes now, in percent of the usual: 100 is normal, 250 is 2.5 times as slow. */
  speedPercent: number
}
