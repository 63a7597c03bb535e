/** Request limit that a target stated, as a host reports it to its peers. */
export interface RequestLimitReport {
  /** Hash of the target's incarnation. */
  incarnationHash: number
  /** Requests per second; Infinity where the target states no limit any more. */
  perSecond: number
  /** Milliseconds since the target's answer arrived. */
  ageMs: number
}
