/** An open-loop Poisson stream of requests. */
export interface Source {
  name: string
  /** Number of callers from which the caller of each request is drawn. */
  callers: number
  /** Number of keys of a caller from which the key of each request is drawn. */
  keys: number
  /** Fixed caller or key for all requests. */
  caller?: string
  key?: string
  route: string
  perSecond: number
  /** Mean service time, in milliseconds; service times are exponentially distributed. */
  meanMs: number
  deadlineMs: number
  /** Virtual time in milliseconds. */
  from: number
  to: number
  /** Number of times that a request is retried after a refusal or a missing answer. */
  retries: number
}
