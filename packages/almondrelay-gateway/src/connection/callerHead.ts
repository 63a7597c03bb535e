/** Fields decoded from the head of a caller's request, besides method, path and headers. */
export interface CallerHead {
  /** Id of the request; undefined if the caller sent none. */
  id: string | undefined
  /** Key by which the caller identifies its organisation; undefined if it sent none, or none that is usable. Must not be logged. */
  organisationKey: string | undefined
  affinityKey: string | undefined
  /** Milliseconds that the caller waits for the answer; undefined if it does not say. */
  callerTimeoutMs: number | undefined
}
