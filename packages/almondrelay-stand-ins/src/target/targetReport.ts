/** What `GET /health` answers. */
export interface TargetReport {
  healthy: boolean
  leaving: boolean
  /** The share of its slots that are in use, from 0 to 1. */
  load: number
  slots: number
}
