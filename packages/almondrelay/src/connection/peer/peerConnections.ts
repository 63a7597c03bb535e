import type { Client } from '@connectrpc/connect'
import type { PeerService } from 'almondrelay-protocol'
import { PeerLinks } from '../../process/dispatch/peerLinks.js'
import { PeerConnection } from './peerConnection.js'

/** The open connections to peers, one for each address in use. */
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

  /** A connection of its own, for asking after one in use was lost; close it after use. */
  override open (address: string): PeerConnection {
    return new PeerConnection(address)
  }

  /** Ends the connection to an address; the next call opens a new one. */
  override drop (address: string): void {
    this.connections.get(address)?.close()
    this.connections.delete(address)
  }

  private close (): void {
    for (const connection of this.connections.values()) connection.close()
    this.connections.clear()
  }
}
