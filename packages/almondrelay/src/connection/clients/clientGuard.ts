import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ClientCloseReason } from './clientCloseReason.js'
import { ClientConnection } from './clientConnection.js'
import type { ClientGuardParts } from './clientGuardParts.js'
import { FeedQueue } from './feedQueue.js'

/** Requests of one connection that are handled at the same time; further ones are read once earlier ones have been answered. */
const MAX_WAITING = 64
/** Share of the memory from which a connection is read only while none of its requests wait. */
const FILLING_SHARE = 0.5
/** Share of the memory, and requests of one connection, from which all connections of the port are paced. */
const PACING_SHARE = 0.25
const PACING_WAITING = 16
/** Share of the connections that may be without a request before all are paced: each may be sending a head without an end. */
const PACING_SILENT_SHARE = 0.125
/** Bytes from which a client is closed rather than connections that are idle. */
const LARGE_BYTES = 64 * 1024
/** Milliseconds within which a client must have taken a part of the answers that wait for it. */
const READ_TIMEOUT_MS = 30_000
const CHECK_INTERVAL_MS = 10_000

/**
 * Bounds what the clients of one HTTP port hold: connections, requests that were sent ahead, unread answers and unfinished heads.
 *
 * Guards against a process that runs out of memory or descriptors because of clients that send and don't read. Reading is slowed down
 * first, so that clients who do read their answers are all served; then the client that holds most is closed.
 */
export class ClientGuard {
  readonly includesBodies: boolean
  private readonly maxHeldBytes: number
  private held = 0
  private readonly connections = new Map<Socket, ClientConnection>()
  private answers = 0
  /** Connections without a request. */
  private silent = 0
  private isPacing: boolean
  readonly queue = new FeedQueue()

  constructor (server: Server, private readonly parts: ClientGuardParts) {
    this.includesBodies = parts.limits.includesBodies
    this.isPacing = this.includesBodies
    this.maxHeldBytes = parts.limits.maxHeldBytes
    // Without it Node leaves out all header lines beyond a thousand; heads are bounded in bytes.
    server.maxHeadersCount = 0
    server.on('connection', (socket: Socket) => { this.addConnection(socket) })
    server.prependListener('request', (message: IncomingMessage, response: ServerResponse) => { this.observeRequest(message, response) })
    server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => {
      this.observeRequest(message, response)
      response.writeHead(417).end()
    })
    const timer = setInterval(() => {
      this.closeStalled(parts.getNow())
      // Connections that are paced stay so: Node can't be made to read them below the stream again.
      this.isPacing &&= this.isCrowded(0)
    }, CHECK_INTERVAL_MS).unref()
    server.once('close', () => { clearInterval(timer) })
  }

  /** Estimated bytes that all clients of the port hold. */
  get heldBytes (): number {
    return this.held
  }

  /** Closes the clients that have not taken any of their answers in time. */
  closeStalled (now: number): void {
    for (const connection of this.connections.values()) {
      if (connection.isStalled(now, READ_TIMEOUT_MS)) this.close(connection, ClientCloseReason.unread)
    }
  }

  /** Adds to the bytes that all clients hold, and closes those that hold most if they are too many. */
  charge (bytes: number): void {
    this.held += bytes
    if (bytes > 0 && this.held > this.maxHeldBytes) this.closeLargest()
  }

  /** Whether further requests are read on a connection on which so many wait for their answers. */
  allowRead (waiting: number): boolean {
    return waiting === 0 || (waiting < MAX_WAITING && this.held < this.maxHeldBytes * FILLING_SHARE)
  }

  /** Paces all connections if the clients hold much together, or one of them sends far ahead. */
  private checkPacing (connection: ClientConnection): void {
    if (!this.isCrowded(connection.waiting)) return
    this.isPacing = true
    // After the read that is being parsed, and before the next one.
    process.nextTick(() => { for (const each of this.connections.values()) each.beginPacing() })
  }

  private isCrowded (waiting: number): boolean {
    return this.includesBodies || waiting >= PACING_WAITING || this.held > this.maxHeldBytes * PACING_SHARE || this.silent > this.parts.limits.maxConnections * PACING_SILENT_SHARE
  }

  private addConnection (socket: Socket): void {
    const connection = new ClientConnection(socket, this)
    this.connections.set(socket, connection)
    this.silent += 1
    socket.once('close', () => {
      if (!connection.hasRequested) this.silent -= 1
      this.connections.delete(socket)
      connection.release()
    })
    if (this.isPacing) connection.beginPacing()
    else this.checkPacing(connection)
    if (this.connections.size > this.parts.limits.maxConnections) this.close(this.findDispensable(connection), ClientCloseReason.connections)
  }

  private observeRequest (message: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(message.socket)
    if (connection === undefined) return
    if (!connection.hasRequested) this.silent -= 1
    connection.observeRequest(message, response)
    if (!this.isPacing) this.checkPacing(connection)
    response.once('close', () => {
      if (!connection.observeAnswer(response)) return
      this.answers += 1
      connection.lastAnswer = this.answers
    })
  }

  /** Closes the clients that hold most until the others fit. */
  private closeLargest (): void {
    while (this.held > this.maxHeldBytes) {
      const largest = this.findLargest()
      if (largest === undefined) return
      this.close(largest, ClientCloseReason.memory)
    }
  }

  private findLargest (): ClientConnection | undefined {
    let largest: ClientConnection | undefined
    for (const connection of this.connections.values()) {
      if (connection.heldBytes > (largest?.heldBytes ?? 0)) largest = connection
    }
    return largest
  }

  /**
   * Finds the connection whose loss costs least: one that was never answered and isn't waiting, then one that holds much, then the one that
   * has been idle for longest.
   */
  private findDispensable (newest: ClientConnection): ClientConnection {
    const others = [...this.connections.values()].filter((connection) => connection !== newest)
    const idle = others.filter(({ waiting }) => waiting === 0)
    const largest = this.findLargest()
    return idle.find(({ lastAnswer }) => lastAnswer === 0) ??
      (largest !== undefined && largest.heldBytes >= LARGE_BYTES ? largest : undefined) ??
      idle.reduce((oldest, each) => oldest === newest || each.lastAnswer < oldest.lastAnswer ? each : oldest, newest)
  }

  private close (connection: ClientConnection, reason: ClientCloseReason): void {
    const { heldBytes, waiting, socket } = connection
    this.parts.reportClosure({ port: this.parts.port, reason, ip: socket.remoteAddress, heldBytes, waiting, connections: this.connections.size })
    this.connections.delete(socket)
    connection.close()
  }
}
