/** Load report of a target's health endpoint; it lags and may be wrong. */
export interface TargetReport {
  /** Share of the target's slots in use, 0 to 1. */
  load: number
  /** The target takes no new work. */
  leaving: boolean
  healthy: boolean
}
