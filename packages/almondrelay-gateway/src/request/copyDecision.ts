/** Whether a copy of a request is sent to a second target, or why not. */
const CopyDecision = {
  send: 'send',
  /** No other target may get the request. */
  noTarget: 'no-target',
  /** The other target doesn't state its speed, so what is expected of it is too uncertain. */
  unstated: 'unstated',
  /** The other target probably doesn't have the object cached. */
  uncached: 'uncached',
  /** Requests wait at the other target. */
  queue: 'queue',
  /** The answer to the copy would be late as well. */
  late: 'late',
  /** Most slots of the service are busy. */
  busy: 'busy',
  /** The retries left are kept for requests whose attempts fail. */
  noAllowance: 'no-allowance'
} as const

type CopyDecision = (typeof CopyDecision)[keyof typeof CopyDecision]

export { CopyDecision }
