import type { HostView } from './hostView.js'

/** Input from which a look-up is answered. */
export interface LookupInput {
  hosts: readonly HostView[]
  /** Shares by serving region, 0 to 1, after pacing; undefined if only slots decide. */
  regionShares?: Readonly<Record<string, number>>
  /** Mean time to live, in milliseconds. */
  ttlMs: number
}
