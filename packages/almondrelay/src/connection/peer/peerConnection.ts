import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { PeerService } from 'almondrelay-protocol'
import { GuardedSessionManager } from './guardedSessionManager.js'

const PING_INTERVAL_MS = 500
const PING_TIMEOUT_MS = 1_000

/**
 * One HTTP/2 connection to a peer.
 *
 * Failure: the connection goes silent for good while new ones work; calls on it would wait for
 * their deadline. Pings close one with open calls within PING_INTERVAL_MS + PING_TIMEOUT_MS; one that was
 * idle for longer than PING_INTERVAL_MS is verified by a ping before a call goes out on it.
 *
 * Idle connections aren't pinged all the time: the session manager would start its timer again when a
 * stream of an ended session closes, and its ping on that session throws where nothing catches it,
 * which ends the process (seen in the first run of six hosts, when one session was replaced).
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
