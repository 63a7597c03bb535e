/** The properties of a request on which admission is decided. */
export interface QueuedRequest {
  /** Unique among the requests of the service that wait or run at this host. */
  id: string
  /** Caller of the request; slots are shared fairly among callers. */
  caller: string
  /** Key of the request; a caller's slots are shared fairly among its keys. Empty if the caller gives none. */
  key: string
  /** Method and first path segment, such as `GET /balances`; costs are measured by route. */
  route: string
  /** Monotonic time in milliseconds after which an answer is of no use. */
  deadlineAt: number
  /** Monotonic time in milliseconds. */
  arrivedAt: number
}
