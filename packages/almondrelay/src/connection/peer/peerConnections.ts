import type { Client } from '@connectrpc/connect'
import type { PeerService } from 'almondrelay-protocol'
import { PeerLinks } from '../../process/dispatch/peerLinks.js'
import { PeerConnection } from './peerConnection.js'

/** Manages the open connections to peers, one for each address in use. */
export class PeerConnections extends PeerLinks {
  private readonly connections = new Map<string, PeerConnection>()

  constructor (signal: AbortSignal) {
    super()
    signal.addEventListener('abort', () => { this.close() }, { once: true })
  }

  override get (address: string): Client<typeof PeerService> {
    const known = this.connections.get(address)
    if (known !== undefined) return known.client
    const opened = new PeerConnection(address)
    this.connections.set(address, opened)
    return opened.client
  }

  /** Opens a separate connection, for checking a peer after the shared connection was lost; the code that opens it closes it. */
  override open (address: string): PeerConnection {
    return new PeerConnection(address)
  }

  /** Closes the connection to an address; the next call opens a new one. */
  override drop (address: string): void {
    this.connections.get(address)?.close()
    this.connections.delete(address)
  }

  private close (): void {
    for (const connection of this.connections.values()) connection.close()
    this.connections.clear()
  }
}
