interface StopInput {
  now: number
  /** Monotonic milliseconds at which the request's time is over. */
  deadline: number
  /** Mean milliseconds that a request of this kind takes. */
  expectedMs: number
  /** Monotonic milliseconds by which this host must have answered all requests; Infinity unless it is being stopped. */
  endsAt: number
}

/**
 * Whether a host may take on a request before it stops. Answers the load of a rolling restart: callers use look-up answers of before
 * the stop, and a request that is cut off by the end of the process is lost to its caller, while one that is refused runs at another host.
 */
export function allowBeforeStop ({ now, deadline, expectedMs, endsAt }: StopInput): boolean {
  return deadline <= endsAt || now + expectedMs <= endsAt
}
