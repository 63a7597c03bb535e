import type { ClientCloseReason } from './clientCloseReason.js'

/** A client's connection that was closed because the client exceeded a limit. */
export interface ClientClosure {
  /** Name of the port. */
  port: string
  reason: ClientCloseReason
  /** Address of the client; undefined if it has disconnected. */
  ip: string | undefined
  /** Estimated bytes that its requests held. */
  heldBytes: number
  /** Number of its requests that had not been answered in full. */
  waiting: number
  /** Number of connections of the port. */
  connections: number
}
