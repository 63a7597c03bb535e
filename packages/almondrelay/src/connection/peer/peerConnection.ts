import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { PeerService } from 'almondrelay-protocol'

const PING_INTERVAL_MS = 500
const PING_TIMEOUT_MS = 1_000

/**
 * One HTTP/2 connection to a peer.
 *
 * Failure: the connection goes silent for good while new ones work; calls on it would wait for
 * their deadline. Pings close it within PING_INTERVAL_MS + PING_TIMEOUT_MS, and the next call opens
 * a new one.
 */
export class PeerConnection {
  readonly client: Client<typeof PeerService>
  private readonly sessions: Http2SessionManager

  constructor (readonly address: string) {
    const baseUrl = `http://${address}`
    this.sessions = new Http2SessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
      pingIdleConnection: true
    })
    this.client = createClient(PeerService, createConnectTransport({ baseUrl, httpVersion: '2', sessionManager: this.sessions }))
  }

  close (): void {
    this.sessions.abort()
  }
}
