/** Why a connection to a target could not be had. */
const ConnectFailure = {
  /** Nothing listens at the address: the process has ended. */
  refused: 'connection refused',
  timedOut: 'connect timeout',
  /** It was ended while it was being opened, as by a target with too many connections. */
  lost: 'connection lost while it was opened',
  /** The target left, or was started again, meanwhile. */
  targetLeft: 'target left while the connection was opened'
} as const

type ConnectFailure = (typeof ConnectFailure)[keyof typeof ConnectFailure]

export { ConnectFailure }
