import type { Client } from '@connectrpc/connect'
import type { PeerService } from 'almondrelay-protocol'

interface PeerLink {
  client: Client<typeof PeerService>
  close: () => void
}

/** Connections to peers, by address. */
export abstract class PeerLinks {
  /** Returns the shared connection, opening it if necessary. */
  abstract get (address: string): Client<typeof PeerService>
  /** Opens a separate connection, for calls made after the shared one was lost; the caller closes it. */
  abstract open (address: string): PeerLink
  /** Closes the shared connection; the next `get` opens a new one. */
  abstract drop (address: string): void
}
