/** Known state of a suspect: a request that was running when targets exited. Both lists only grow, so that reports merge in any order. */
export interface SuspectState {
  fingerprint: string
  /** Name of the caller's organisation; empty if callers do not identify themselves. */
  organisation: string
  /** Hashes of the incarnations of targets that exited while running the request. */
  ended: readonly number[]
  /** Those of them that no longer count, because the request was answered since. */
  cleared: readonly number[]
}
