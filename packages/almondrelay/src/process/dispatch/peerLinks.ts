import type { Client } from '@connectrpc/connect'
import type { PeerService } from 'almondrelay-protocol'

interface PeerLink {
  client: Client<typeof PeerService>
  close: () => void
}

/** Clients for peers, by address. */
export abstract class PeerLinks {
  /** The connection in use, opened at need. */
  abstract get (address: string): Client<typeof PeerService>
  /** A new connection, for asking after one in use was lost; close it after use. */
  abstract open (address: string): PeerLink
  /** Ends the connection in use; the next `get` opens a new one. */
  abstract drop (address: string): void
}
