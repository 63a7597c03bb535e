import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { PeerService } from 'almondrelay-protocol'
import { GuardedSessionManager } from './guardedSessionManager.js'

const PING_INTERVAL_MS = 500
const PING_TIMEOUT_MS = 1_000

/**
 * One HTTP/2 connection to a peer.
 *
 * Failure: the connection stops delivering packets for good while new connections work, and calls on it would wait for
 * their deadline. Pings close a connection with open calls within PING_INTERVAL_MS + PING_TIMEOUT_MS. A connection that was
 * idle for longer than PING_INTERVAL_MS is verified by a ping before a call is sent on it.
 *
 * Idle connections aren't pinged continuously: the session manager would restart its timer when a stream of an ended
 * session closes, and the ping on that session would throw an uncaught error, which ends the process (seen in the first
 * run of six hosts, when one session was replaced).
 */
export class PeerConnection {
  readonly client: Client<typeof PeerService>
  private readonly sessions: GuardedSessionManager

  constructor (readonly address: string) {
    const baseUrl = `http://${address}`
    this.sessions = new GuardedSessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS
    })
    this.client = createClient(PeerService, createConnectTransport({ baseUrl, httpVersion: '2', sessionManager: this.sessions }))
  }

  close (): void {
    this.sessions.abort()
  }
}
