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
  private held = 0
  private readonly connections = new Map<Socket, ClientConnection>()
  /** Connections without an answer yet, and the others; those that were used last come last. */
  private readonly unanswered = new Set<ClientConnection>()
  private readonly answered = new Set<ClientConnection>()
  private readonly queue = new FeedQueue()

  constructor (server: Server, private readonly parts: ClientGuardParts) {
    // Without it Node leaves out all header lines beyond a thousand; heads are bounded in bytes.
    server.maxHeadersCount = 0
    server.on('connection', (socket: Socket) => { this.addConnection(socket) })
    server.prependListener('request', (message: IncomingMessage, response: ServerResponse) => { this.observeRequest(message, response) })
    server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => {
      this.observeRequest(message, response)
      response.writeHead(417).end()
    })
    const timer = setInterval(() => { this.closeStalled(parts.getNow()) }, CHECK_INTERVAL_MS).unref()
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

  private addConnection (socket: Socket): void {
    const connection = new ClientConnection(socket, {
      includesBodies: this.parts.limits.includesBodies,
      queue: this.queue,
      charge: (bytes) => { this.charge(bytes) },
      allowRead: (waiting) => waiting === 0 || (waiting < MAX_WAITING && this.held < this.parts.limits.maxHeldBytes * FILLING_SHARE),
      handleAnswered: () => { this.moveToAnswered(connection) }
    })
    this.connections.set(socket, connection)
    this.unanswered.add(connection)
    socket.once('close', () => { this.remove(connection) })
    if (this.connections.size > this.parts.limits.maxConnections) this.close(this.findDispensable(connection), ClientCloseReason.connections)
  }

  private observeRequest (message: IncomingMessage, response: ServerResponse): void {
    this.connections.get(message.socket)?.observeRequest(message, response)
  }

  private moveToAnswered (connection: ClientConnection): void {
    if (!this.connections.has(connection.socket)) return
    this.unanswered.delete(connection)
    this.answered.delete(connection)
    this.answered.add(connection)
  }

  private charge (bytes: number): void {
    this.held += bytes
    if (bytes > 0) this.closeLargest()
  }

  /** Closes the clients that hold most until the others fit. */
  private closeLargest (): void {
    while (this.held > this.parts.limits.maxHeldBytes) {
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

  /** Finds the connection whose loss costs least: clients that were never answered first, those that are in use last. */
  private findDispensable (newest: ClientConnection): ClientConnection {
    const isIdle = (connection: ClientConnection): boolean => connection.waiting === 0 && connection !== newest
    const largest = this.findLargest()
    return findFirst(this.unanswered, isIdle) ?? (largest !== undefined && largest.heldBytes >= LARGE_BYTES ? largest : undefined) ?? findFirst(this.answered, isIdle) ?? newest
  }

  private close (connection: ClientConnection, reason: ClientCloseReason): void {
    const { heldBytes, waiting, socket } = connection
    this.parts.reportClosure({ port: this.parts.port, reason, ip: socket.remoteAddress, heldBytes, waiting, connections: this.connections.size })
    this.remove(connection)
    connection.close()
  }

  private remove (connection: ClientConnection): void {
    this.connections.delete(connection.socket)
    this.unanswered.delete(connection)
    this.answered.delete(connection)
  }
}

const findFirst = <Item>(items: Iterable<Item>, isWanted: (item: Item) => boolean): Item | undefined => {
  for (const item of items) {
    if (isWanted(item)) return item
  }
  return undefined
}
