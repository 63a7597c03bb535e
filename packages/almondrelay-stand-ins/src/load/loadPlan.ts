import type { Deployment } from '../deployments/deployment.js'

/** What load to offer; the same plan gives the same operations. */
export interface LoadPlan {
  deployment: Deployment
  seed: number
  /** Mean requests a second over all callers; arrivals are a Poisson process. */
  rate: number
  durationMs: number
  deadlineMs: number
  /** Share of a service's requests that are non-idempotent, where it has any. */
  writeShare: number
  /** Share of the load by region; even where absent. */
  regions?: Record<string, number>
}
