import type { ClientHttp2Session, ClientHttp2Stream, ClientSessionRequestOptions, OutgoingHttpHeaders } from 'node:http2'
import { Http2SessionManager } from '@connectrpc/connect-node'

/**
 * A session manager whose sessions always have an error listener.
 *
 * Failure: a ping times out and destroys the session. Before the session emits the error, the owner closes the connection
 * and the manager removes its listeners. The error event then has no listener, which ends the process (seen in the demo:
 * one host ended with 'PING timed out' while the machine was busy). The listener added here stays until the session is
 * garbage-collected. Open calls on the session fail through their own streams.
 */
export class GuardedSessionManager extends Http2SessionManager {
  private readonly observedSessions = new WeakSet<ClientHttp2Session>()

  override async request (method: string, path: string, headers: OutgoingHttpHeaders, options: Omit<ClientSessionRequestOptions, 'signal'>): Promise<ClientHttp2Stream> {
    const stream = await super.request(method, path, headers, options)
    const session = stream.session as ClientHttp2Session | undefined
    if (session !== undefined && !this.observedSessions.has(session)) {
      this.observedSessions.add(session)
      session.on('error', ignoreError)
    }
    return stream
  }
}

function ignoreError (): void {}
