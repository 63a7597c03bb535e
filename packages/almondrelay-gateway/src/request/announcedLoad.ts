/** Load that a target states in the head of an answer. */
export interface AnnouncedLoad {
  /** Requests that run and that wait at the target. */
  running: number
  waiting: number
  /** Requests that the target runs at once; undefined where it doesn't state them. */
  slots: number | undefined
  /** Time that work takes now, in percent of the usual; undefined where it isn't stated, as by targets of earlier deployments. */
  speedPercent: number | undefined
}
