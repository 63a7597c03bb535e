import type { HostView } from './hostView.js'

/** What a look-up's answer is computed from. */
export interface LookupInput {
  hosts: readonly HostView[]
  /** Share by serving region, 0 to 1, after pacing; absent where slots alone decide. */
  regionShares?: Readonly<Record<string, number>>
  /** Mean time to live, in milliseconds. */
  ttlMs: number
}
