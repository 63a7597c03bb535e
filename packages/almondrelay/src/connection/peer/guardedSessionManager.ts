import type { ClientHttp2Session, ClientHttp2Stream, ClientSessionRequestOptions, OutgoingHttpHeaders } from 'node:http2'
import { Http2SessionManager } from '@connectrpc/connect-node'

/**
 * A session manager whose sessions always have someone to take their errors.
 *
 * Failure: a ping times out and destroys the session; before the session reports that, the
 * connection is closed by its owner and the manager takes its listeners off; the report then reaches
 * nobody, and an error event that nobody takes ends the process (seen in the demo: one host ended
 * with 'PING timed out' while the machine was busy). The listener here stays as long as the session
 * does. The open calls on the session learn of its end from their own streams.
 */
export class GuardedSessionManager extends Http2SessionManager {
  private readonly guarded = new WeakSet<ClientHttp2Session>()

  override async request (method: string, path: string, headers: OutgoingHttpHeaders, options: Omit<ClientSessionRequestOptions, 'signal'>): Promise<ClientHttp2Stream> {
    const stream = await super.request(method, path, headers, options)
    const session = stream.session as ClientHttp2Session | undefined
    if (session !== undefined && !this.guarded.has(session)) {
      this.guarded.add(session)
      session.on('error', ignoreError)
    }
    return stream
  }
}

function ignoreError (): void {}
