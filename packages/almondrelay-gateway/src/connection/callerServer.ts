import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import type { RequestLimits } from '../version/requestLimits.js'
import type { AnswerMemory } from './answerMemory.js'
import type { CallerAnswer } from './callerAnswer.js'
import { holdUntilRead } from './holdUntilRead.js'
import { LISTEN_BACKLOG } from './listenBacklog.js'
import type { TurnQueue } from './turnQueue.js'

/** Milliseconds between checks for connections whose request heads have not arrived in time. */
const CHECK_INTERVAL_MS = 1_000
/** Milliseconds for which a connection is kept open beyond the configured limit: a caller's request may cross with the close. */
const IDLE_MARGIN_MS = 1_000
/** Milliseconds within which a whole request must arrive. */
const REQUEST_TIMEOUT_MS = 60_000

/**
 * Handles one request; resolves with undefined if the caller gets no answer. The signal aborts when the caller disconnects;
 * `arrivedAt` is when the head of the request was read, in monotonic milliseconds.
 */
type HandleRequest = (message: IncomingMessage, callerLeft: AbortSignal, arrivedAt: number) => Promise<CallerAnswer | undefined>

interface ConnectionState {
  /** Response to the request that was read last; responses are sent in the order of their requests. */
  last: ServerResponse | undefined
  /** No further requests are handled: the connection ends after the answer to the last one. */
  isClosing: boolean
  /** Requests that were read and whose answers have not been sent in full; aborted when the caller disconnects. */
  unanswered: Set<AbortController>
  /** Bytes read on the connection when the last answer was sent; any beyond them are the beginning of another request. */
  bytesReadAtLastAnswer: number
}

interface AcceptedRequest {
  message: IncomingMessage
  response: ServerResponse
  connection: ConnectionState
  callerLeft: AbortSignal
  arrivedAt: number
}

/** HTTP server for callers' requests. */
export class CallerServer {
  private readonly server: Server
  private isLeaving = false
  private readonly connections = new Map<Socket, ConnectionState>()

  constructor (private readonly handleRequest: HandleRequest, private readonly turns: TurnQueue, private readonly memory: AnswerMemory, private readonly logError: (error: Error) => void) {
    this.server = createServer({ connectionsCheckingInterval: CHECK_INTERVAL_MS, requestTimeout: REQUEST_TIMEOUT_MS, noDelay: true })
    this.server.on('connection', (socket: Socket) => {
      turns.observeAccept()
      this.findOrAddConnection(socket)
    })
    this.server.on('request', (message, response) => { this.accept(message, response) })
  }

  /** Starts listening on a port, or on a free one if it is 0, and resolves with the port. */
  listen (ip: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, ip, LISTEN_BACKLOG, () => {
        this.server.off('error', reject)
        this.server.on('error', this.logError)
        const address = this.server.address()
        resolve(typeof address === 'object' && address !== null ? address.port : port)
      })
    })
  }

  /** Applies the operators' limits to requests from now on. */
  setLimits (limits: RequestLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
    this.server.headersTimeout = limits.headerTimeoutMs + IDLE_MARGIN_MS
  }

  /** Returns the number of requests that were read and whose answers have not been sent in full. */
  countUnanswered (): number {
    return [...this.connections.values()].reduce((sum, { unanswered }) => sum + unanswered.size, 0)
  }

  /** Makes each answer from now on close its connection, so that callers connect to other hosts. */
  leave (): void {
    this.isLeaving = true
  }

  /**
   * Stops accepting connections, closes idle ones, and handles no further requests on the others. A request of which a part has
   * been received is read to its end and answered.
   *
   * Node's own `Server.close` treats a connection as idle as soon as its answer has been written, and destroys it: a caller that was
   * still receiving a large answer got it truncated. Here a connection ends only after all data has been sent.
   */
  close (): void {
    for (const [socket, connection] of this.connections) {
      const hasBegun = socket.bytesRead > connection.bytesReadAtLastAnswer
      connection.isClosing = connection.unanswered.size > 0 || !hasBegun
      if (connection.unanswered.size === 0 && !hasBegun) socket.destroySoon()
    }
    NetServer.prototype.close.call(this.server)
  }

  private accept (message: IncomingMessage, response: ServerResponse): void {
    if (message.socket.destroyed) return
    const connection = this.findOrAddConnection(message.socket)
    // The caller assumes that requests after the last answer were not read and sends them again: if handled here, they would run twice.
    if (connection.isClosing) return
    const callerLeft = new AbortController()
    const isFirst = connection.last === undefined
    connection.last = response
    connection.unanswered.add(callerLeft)
    response.once('finish', () => {
      connection.unanswered.delete(callerLeft)
      connection.bytesReadAtLastAnswer = message.socket.bytesRead
    })
    this.turns.push((arrivedAt) => {
      this.serve({ message, response, connection, callerLeft: callerLeft.signal, arrivedAt }).catch((error: Error) => { this.abortAnswer(response, error) })
    }, isFirst)
  }

  private async serve ({ message, response, connection, callerLeft, arrivedAt }: AcceptedRequest): Promise<void> {
    // The caller disconnected while its request was queued: handling it would only delay requests whose callers still wait.
    if (callerLeft.aborted) return
    const answer = await this.handleRequest(message, callerLeft, arrivedAt)
    if (answer === undefined || response.destroyed) return
    // Of two requests on a connection the second may be answered first: closing after the first one's answer would cut off the second's.
    const isLast = this.isLeaving && connection.last === response
    if (isLast) connection.isClosing = true
    response.writeHead(answer.status, isLast ? [...answer.headers, 'Connection', 'close'] : answer.headers)
    holdUntilRead(this.memory, response, answer.body.length)
    response.end(answer.body)
  }

  private findOrAddConnection (socket: Socket): ConnectionState {
    const known = this.connections.get(socket)
    if (known !== undefined) return known
    const state = { last: undefined, isClosing: false, unanswered: new Set<AbortController>(), bytesReadAtLastAnswer: 0 }
    this.connections.set(socket, state)
    // Listens on the socket and not on each response: a response that is queued behind another one on a connection with several
    // pending requests gets no event when the caller disconnects, and its request would go on although nobody waits for it.
    const abortAll = (): void => { for (const callerLeft of state.unanswered) callerLeft.abort() }
    socket.once('end', abortAll)
    socket.once('close', () => {
      this.connections.delete(socket)
      abortAll()
    })
    return state
  }

  private abortAnswer (response: ServerResponse, error: Error): void {
    this.logError(error)
    response.destroy()
  }
}
