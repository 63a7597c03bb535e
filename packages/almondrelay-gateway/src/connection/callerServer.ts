import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { RequestLimits } from '../version/requestLimits.js'
import type { CallerAnswer } from './callerAnswer.js'

/** Milliseconds between checks for callers that are too slow with their heads. */
const CHECK_INTERVAL_MS = 1_000
/** Milliseconds that a connection is kept beyond the stated limit: a caller's last request and our close may cross. */
const IDLE_MARGIN_MS = 1_000
/** Milliseconds that a whole request may take to arrive. */
const REQUEST_TIMEOUT_MS = 60_000

/** Carries one request through; undefined where the caller gets no answer. The signal aborts when the caller leaves. */
type HandleRequest = (message: IncomingMessage, left: AbortSignal) => Promise<CallerAnswer | undefined>

interface ConnectionState {
  /** Answer to the request that was read last; answers go out in the order of their requests. */
  last: ServerResponse | undefined
  /** Nothing more is read: the answer to the last request ends the connection. */
  isClosing: boolean
}

/** The port on which callers' requests arrive. */
export class CallerServer {
  private readonly server: Server
  private isLeaving = false
  private unanswered = 0
  private readonly connections = new Map<Socket, ConnectionState>()

  constructor (private readonly handleRequest: HandleRequest, private readonly logError: (error: Error) => void) {
    this.server = createServer({ connectionsCheckingInterval: CHECK_INTERVAL_MS, requestTimeout: REQUEST_TIMEOUT_MS, noDelay: true })
    this.server.on('request', (message, response) => { this.serve(message, response).catch((error: Error) => { this.abortAnswer(response, error) }) })
  }

  /** Opens the port, or a free one for 0, and returns it. */
  listen (ip: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, ip, () => {
        this.server.off('error', reject)
        this.server.on('error', this.logError)
        const address = this.server.address()
        resolve(typeof address === 'object' && address !== null ? address.port : port)
      })
    })
  }

  /** Puts the operators' limits in force for requests from now on. */
  setLimits (limits: RequestLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
    this.server.headersTimeout = limits.headerTimeoutMs + IDLE_MARGIN_MS
  }

  /** Requests that were read and have no whole answer yet. */
  countUnanswered (): number {
    return this.unanswered
  }

  /** Each answer from now on ends its connection, so that callers go elsewhere. */
  leave (): void {
    this.isLeaving = true
  }

  /** Takes no new connections, reads nothing more from the others and ends those without a request. */
  close (): void {
    for (const connection of this.connections.values()) connection.isClosing = true
    this.server.close()
    this.server.closeIdleConnections()
  }

  private async serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = this.findConnection(message.socket)
    // The caller takes what it sent behind the last answer for unread and sends it again: passed on, it would run twice.
    if (connection.isClosing) return
    const left = new AbortController()
    connection.last = response
    this.unanswered += 1
    response.once('close', () => {
      this.unanswered -= 1
      if (!response.writableFinished) left.abort()
    })
    const answer = await this.handleRequest(message, left.signal)
    if (answer === undefined || response.destroyed) return
    // Of two requests on one connection the second may be answered first: a close after the first one's answer would cut the second one's off.
    const isLast = this.isLeaving && connection.last === response
    if (isLast) connection.isClosing = true
    response.writeHead(answer.status, isLast ? [...answer.headers, 'Connection', 'close'] : answer.headers)
    response.end(answer.body)
  }

  private findConnection (socket: Socket): ConnectionState {
    const known = this.connections.get(socket)
    if (known !== undefined) return known
    const state = { last: undefined, isClosing: false }
    this.connections.set(socket, state)
    socket.once('close', () => { this.connections.delete(socket) })
    return state
  }

  private abortAnswer (response: ServerResponse, error: Error): void {
    this.logError(error)
    response.destroy()
  }
}
