/** Reasons why a connection to a target could not be opened. */
const ConnectFailure = {
  /** Nothing listens at the address: the target's process has exited. */
  refused: 'connection refused',
  timedOut: 'connect timeout',
  /** The connection was closed while it was being opened, for example by a target that has too many connections. */
  lost: 'connection lost while it was opened',
  /** The target left or restarted while the connection was being opened. */
  targetLeft: 'target left while the connection was opened'
} as const

type ConnectFailure = (typeof ConnectFailure)[keyof typeof ConnectFailure]

export { ConnectFailure }
