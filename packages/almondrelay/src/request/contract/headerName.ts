/** Headers of the caller contract, in lower case. */
export const HeaderName = {
  id: 'idempotency-key',
  caller: 'almondrelay-caller',
  key: 'almondrelay-key',
  deadline: 'almondrelay-deadline',
  home: 'almondrelay-home',
  attempt: 'almondrelay-attempt',
  outcome: 'almondrelay-outcome',
  reason: 'almondrelay-reason',
  target: 'almondrelay-target',
  host: 'almondrelay-host',
  retryAfter: 'retry-after',
  retryAfterMs: 'almondrelay-retry-after-ms',
  /** States that the target did not run the request. */
  notRun: 'almondrelay-not-run',
  /** Names one sending of a request to a target, which echoes it in the answer. */
  sendId: 'almondrelay-send-id'
} as const
