/** Why a new connection to a target was opened; a label of the metrics. */
const OpenCause = {
  /** This host had no connection to the target before. */
  first: 'first',
  /** All open connections were busy. */
  busy: 'busy',
  /** The last connection had been idle for longer than the target is known to keep it. */
  idle: 'idle',
  /** The target closed the last connection, or announced with its last answer that it would. */
  closed: 'closed',
  /** The last connection was closed under a request that failed or was cancelled, could not be opened, or was over a lost link. */
  failure: 'failure',
  /** The connection is to show whether the target listens. */
  probe: 'probe'
} as const

type OpenCause = (typeof OpenCause)[keyof typeof OpenCause]

export { OpenCause }
