/** What a target's health endpoint says; it lags and may mislead. */
export interface TargetReport {
  /** Part of the target's slots in use, 0 to 1. */
  load: number
  /** It takes no new work. */
  leaving: boolean
  healthy: boolean
}
