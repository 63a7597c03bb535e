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
  /** Requests that were read and have no answer. */
  unanswered: number
  /** The last answer is out: what arrives now isn't read. */
  isClosing: boolean
}

/** The port on which callers' requests arrive. */
export class CallerServer {
  private readonly server: Server
  private isLeaving = false
  private unanswered = 0
  private readonly connections = new WeakMap<Socket, ConnectionState>()

  constructor (private readonly handleRequest: HandleRequest, private readonly logError: (error: Error) => void) {
    this.server = createServer({ connectionsCheckingInterval: CHECK_INTERVAL_MS, requestTimeout: REQUEST_TIMEOUT_MS, noDelay: true })
    this.server.on('request', (message, response) => { this.serve(message, response).catch((error: Error) => { this.abortAnswer(response, error) }) })
  }

  listen (ip: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, ip, () => {
        this.server.off('error', reject)
        this.server.on('error', this.logError)
        resolve()
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

  /** Takes no new connections and ends those without a request. */
  close (): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  private async serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = this.findConnection(message.socket)
    // The caller takes what it sent behind the last answer for unread and sends it again: passed on, it would run twice.
    if (connection.isClosing) return
    const left = new AbortController()
    connection.unanswered += 1
    this.unanswered += 1
    response.once('close', () => {
      connection.unanswered -= 1
      this.unanswered -= 1
      if (!response.writableFinished) left.abort()
    })
    const answer = await this.handleRequest(message, left.signal)
    if (answer === undefined || response.destroyed) return
    const isLast = this.isLeaving && connection.unanswered === 1
    if (isLast) connection.isClosing = true
    response.writeHead(answer.status, isLast ? [...answer.headers, 'Connection', 'close'] : answer.headers)
    response.end(answer.body)
  }

  private findConnection (socket: Socket): ConnectionState {
    const known = this.connections.get(socket)
    if (known !== undefined) return known
    const state = { unanswered: 0, isClosing: false }
    this.connections.set(socket, state)
    return state
  }

  private abortAnswer (response: ServerResponse, error: Error): void {
    this.logError(error)
    response.destroy()
  }
}
