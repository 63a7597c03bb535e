/** Why a client's connection was closed; a label of the metrics. */
const ClientCloseReason = {
  /** The clients of the port hold too much memory, and this one holds most. */
  memory: 'memory',
  /** The port has too many connections. */
  connections: 'connections',
  /** The client hasn't read its answers in time. */
  unread: 'unread'
} as const

type ClientCloseReason = (typeof ClientCloseReason)[keyof typeof ClientCloseReason]

export { ClientCloseReason }
