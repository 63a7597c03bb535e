import type { HostWeight } from './hostWeight.js'

/** Weights of entry hosts for one service and caller region, to be cached by callers. */
export interface LookupAnswer {
  /** Hosts in the order in which to try them, drawn by weight. The weights sum to 1. */
  hosts: HostWeight[]
  /** Time to live of this answer, in milliseconds. */
  ttlMs: number
  /** Monotonic time in milliseconds. */
  computedAt: number
}
