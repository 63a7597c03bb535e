import type { HostWeight } from './hostWeight.js'

/** Weights of entry hosts for one service and caller region, to be cached by callers. */
export interface LookupAnswer {
  /** In the order to try: drawn by weight. Weights sum to 1. */
  hosts: HostWeight[]
  /** Time to live of this answer, in milliseconds. */
  ttlMs: number
  /** Monotonic milliseconds. */
  computedAt: number
}
