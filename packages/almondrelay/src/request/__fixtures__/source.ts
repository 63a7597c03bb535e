/** An open-loop Poisson stream of requests. */
export interface Source {
  name: string
  /** Callers among which each request's is drawn. */
  callers: number
  /** Keys of a caller among which each request's is drawn. */
  keys: number
  /** One caller, or one key, for all requests. */
  caller?: string
  key?: string
  route: string
  perSecond: number
  /** Mean service time, in milliseconds; times are exponential. */
  meanMs: number
  deadlineMs: number
  /** Virtual milliseconds. */
  from: number
  to: number
  /** Times that a request is sent again after a refusal, or after nothing came. */
  retries: number
}
