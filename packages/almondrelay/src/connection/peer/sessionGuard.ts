import type { Http2Server, ServerHttp2Session, ServerHttp2Stream } from 'node:http2'
import { ClientCloseReason } from '../clients/clientCloseReason.js'
import type { ClientGuardParts } from '../clients/clientGuardParts.js'

/** Bytes of the objects that a call takes without its message. */
const STREAM_BYTES = 20 * 1024
/** Copies of a message that exist while its call is handled: as received, joined, and decoded. */
const MESSAGE_COPIES = 2

/** What one HTTP/2 client holds. */
interface HeldSession {
  session: ServerHttp2Session
  ip: string | undefined
  /** Calls that it has begun, and those of them that have not ended. */
  begun: number
  streams: number
  bytes: number
}

/**
 * Bounds what the clients of an HTTP/2 port hold: sessions, calls that have not ended, and their messages.
 *
 * Guards against a process that runs out of memory or descriptors because of clients that begin calls without end. The client that holds
 * most is closed.
 */
export class SessionGuard {
  private held = 0
  private readonly sessions = new Map<ServerHttp2Session, HeldSession>()

  constructor (server: Http2Server, private readonly parts: ClientGuardParts) {
    server.on('session', (session) => { this.addSession(session) })
    server.prependListener('stream', (stream: ServerHttp2Stream) => { this.addStream(stream) })
  }

  /** Bytes that all clients of the port are estimated to hold. */
  get heldBytes (): number {
    return this.held
  }

  private addSession (session: ServerHttp2Session): void {
    this.sessions.set(session, { session, ip: session.socket.remoteAddress, begun: 0, streams: 0, bytes: 0 })
    session.once('close', () => { this.remove(session) })
    if (this.sessions.size > this.parts.limits.maxConnections) this.close(this.findDispensable(session), ClientCloseReason.connections)
  }

  private addStream (stream: ServerHttp2Stream): void {
    const held = stream.session === undefined ? undefined : this.sessions.get(stream.session as ServerHttp2Session)
    if (held === undefined) return
    let bytes = STREAM_BYTES
    held.begun += 1
    held.streams += 1
    stream.once('close', () => {
      held.streams -= 1
      this.charge(held, -bytes)
    })
    // Node hands received data to the stream by this method. A listener for data would take it from the reader of the message.
    const push = stream.push.bind(stream)
    stream.push = (chunk: unknown, encoding?: BufferEncoding) => {
      const added = Buffer.isBuffer(chunk) ? chunk.byteLength * MESSAGE_COPIES : 0
      bytes += added
      if (added > 0) this.charge(held, added)
      return push(chunk, encoding)
    }
    this.charge(held, STREAM_BYTES)
  }

  private charge (held: HeldSession, bytes: number): void {
    if (!this.sessions.has(held.session)) return
    held.bytes += bytes
    this.held += bytes
    if (bytes > 0) this.closeLargest()
  }

  private closeLargest (): void {
    while (this.held > this.parts.limits.maxHeldBytes) {
      const [first, ...others] = this.sessions.values()
      if (first === undefined) return
      this.close(others.reduce((largest, each) => each.bytes > largest.bytes ? each : largest, first), ClientCloseReason.memory)
    }
  }

  /** Finds the session whose loss costs least: one that has never begun a call, then one without a call now. */
  private findDispensable (newest: ServerHttp2Session): HeldSession {
    const others = [...this.sessions.values()].filter(({ session }) => session !== newest)
    return others.find(({ begun }) => begun === 0) ?? others.find(({ streams }) => streams === 0) ?? this.sessions.get(newest) as HeldSession
  }

  private close (held: HeldSession, reason: ClientCloseReason): void {
    const { session, ip, streams, bytes } = held
    this.parts.reportClosure({ port: this.parts.port, reason, ip, heldBytes: bytes, waiting: streams, connections: this.sessions.size })
    this.remove(session)
    session.destroy()
  }

  private remove (session: ServerHttp2Session): void {
    this.held -= this.sessions.get(session)?.bytes ?? 0
    this.sessions.delete(session)
  }
}
