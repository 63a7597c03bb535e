/** What a caller may send to a host, and how slowly. */
export interface RequestLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  /** Milliseconds that the head of a request may take to arrive. */
  headerTimeoutMs: number
  /** Milliseconds for which a caller's connection may stay unused. */
  idleTimeoutMs: number
}
