/** Limits on the size and duration of what a caller sends to a host. */
export interface RequestLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  /** Maximum time, in milliseconds, that the head of a request may take to arrive. */
  headerTimeoutMs: number
  /** Maximum time, in milliseconds, for which a caller's connection may stay idle. */
  idleTimeoutMs: number
}
