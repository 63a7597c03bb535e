/** What `GET /health` answers. */
export interface TargetReport {
  healthy: boolean
  leaving: boolean
  /** Requests that it runs. */
  load: number
  slots: number
}
