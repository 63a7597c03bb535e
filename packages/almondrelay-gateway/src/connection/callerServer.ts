import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import { createClientServer, type ClientGuardParts } from 'almondrelay'
import type { RequestLimits } from '../version/requestLimits.js'
import type { CallerAnswer } from './callerAnswer.js'
import { CallerConnection } from './callerConnection.js'
import { LISTEN_BACKLOG } from './listenBacklog.js'
import type { MessageMemory } from './messageMemory.js'
import type { ReadFailureReport } from './readFailureReport.js'
import type { TurnQueue } from './turnQueue.js'

/** Milliseconds between checks for connections whose request heads have not arrived in time. */
const CHECK_INTERVAL_MS = 1_000
/** Milliseconds for which a connection is kept open beyond the configured limit: a caller's request may cross with the close. */
const IDLE_MARGIN_MS = 1_000
/** Milliseconds within which a whole request must arrive. */
const REQUEST_TIMEOUT_MS = 60_000

/** Answer to a request whose handling failed in this host: it may have run. */
const INTERNAL_ERROR: CallerAnswer = { status: 500, headers: ['Content-Length', '0'], body: Buffer.alloc(0) }

/**
 * Handles one request; resolves with undefined if the caller gets no answer. The signal aborts when the caller disconnects;
 * `arrivedAt` is when the head of the request was read, in monotonic milliseconds.
 */
type HandleRequest = (message: IncomingMessage, callerLeft: AbortSignal, arrivedAt: number) => Promise<CallerAnswer | undefined>

interface ServerParts {
  guard: ClientGuardParts
  turns: TurnQueue
  memory: MessageMemory
  logError: (error: Error) => void
  reportReadFailure: (report: ReadFailureReport) => void
}

/** Bytes of a head above the limit that are accepted, as callers may not count all that Node.js counts. */
const HEAD_MARGIN_BYTES = 512

/** HTTP server for callers' requests. */
export class CallerServer {
  private readonly server: Server & { maxHeaderSize?: number }
  private isLeaving = false
  private readonly connections = new Map<Socket, CallerConnection>()

  constructor (private readonly handleRequest: HandleRequest, private readonly parts: ServerParts) {
    this.server = createClientServer(parts.guard, { connectionsCheckingInterval: CHECK_INTERVAL_MS, requestTimeout: REQUEST_TIMEOUT_MS, noDelay: true })
    this.server.on('connection', (socket: Socket) => {
      parts.turns.observeAccept()
      this.addConnection(socket)
    })
    this.server.on('request', (message, response) => { this.accept(message, response) })
    // Without a listener Node answers 408 or 400 by itself, in place of the answer to a request that is running.
    this.server.on('clientError', (error, socket) => {
      const connection = this.connections.get(socket as Socket)
      if (connection === undefined) socket.destroy()
      else connection.handleError(error)
    })
  }

  /** Starts listening on a port, or on a free one if it is 0, and resolves with the port. */
  listen (ip: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, ip, LISTEN_BACKLOG, () => {
        this.server.off('error', reject)
        this.server.on('error', this.parts.logError)
        const address = this.server.address()
        resolve(typeof address === 'object' && address !== null ? address.port : port)
      })
    })
  }

  /** Applies the operators' limits to requests from now on. */
  setLimits (limits: RequestLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
    this.server.headersTimeout = limits.headerTimeoutMs + IDLE_MARGIN_MS
    // Node.js reads it for each new connection.
    this.server.maxHeaderSize = limits.maxHeaderBytes + HEAD_MARGIN_BYTES
  }

  /** Returns the number of requests that were read in full and whose answers have not been sent in full. */
  countUnanswered (): number {
    return [...this.connections.values()].reduce((sum, { unanswered }) => sum + unanswered, 0)
  }

  /** Returns the number of connections on which a part of a request has been received. */
  countArriving (): number {
    return [...this.connections.values()].filter(({ isArriving }) => isArriving).length
  }

  /** Returns the number of connections whose last answer has been written and whose callers have not ended them. */
  countLingering (): number {
    return [...this.connections.values()].filter(({ isLingering }) => isLingering).length
  }

  /** Makes each answer from now on close its connection, so that callers connect to other hosts. */
  leave (): void {
    this.isLeaving = true
    for (const connection of this.connections.values()) connection.leave()
  }

  /**
   * Stops accepting connections, closes idle ones, and handles no further requests on the others.
   *
   * Node's own `Server.close` treats a connection as idle as soon as its answer has been written, and destroys it: a caller that was
   * still receiving a large answer got it truncated. Here a connection ends only after all data has been sent.
   */
  close (): void {
    for (const connection of this.connections.values()) connection.close()
    NetServer.prototype.close.call(this.server)
  }

  private accept (message: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(message.socket)
    const isFirst = connection?.isUnused === true
    const exchange = connection?.accept(message, response)
    if (connection === undefined || exchange === undefined) return
    const { callerLeft } = exchange
    this.parts.turns.push((arrivedAt) => {
      // The caller disconnected while its request was queued: handling it would only delay requests whose callers still wait.
      if (callerLeft.signal.aborted) return
      this.handleRequest(message, callerLeft.signal, arrivedAt).catch((error: Error) => {
        this.parts.logError(error)
        return INTERNAL_ERROR
      }).then((answer) => { connection.answer(exchange, answer) }, this.parts.logError)
    }, connection, isFirst)
  }

  private addConnection (socket: Socket): void {
    const connection: CallerConnection = new CallerConnection(socket, {
      ...this.parts,
      handleClose: () => {
        this.connections.delete(socket)
        this.parts.turns.drop(connection)
      }
    })
    this.connections.set(socket, connection)
    if (this.isLeaving) connection.leave()
  }
}
