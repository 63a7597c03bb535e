/** What admission knows of a request. */
export interface QueuedRequest {
  /** Unique among the requests that wait or run at this host for the service. */
  id: string
  /** Who asks; shares are counted by it. */
  caller: string
  /** The key within the caller that fairness counts by; empty where the caller names none. */
  key: string
  /** Method and first path part, such as `GET /balances`; costs are learnt by it. */
  route: string
  /** Monotonic milliseconds after which an answer is of no use. */
  deadlineAt: number
  /** Monotonic milliseconds. */
  arrivedAt: number
}
