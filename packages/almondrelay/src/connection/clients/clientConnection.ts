import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { estimateRequestBytes } from './estimateRequestBytes.js'
import type { FeedQueue } from './feedQueue.js'

/**
 * Bytes that Node's parser gets at once: it can't be paused within them, and the shortest requests take several hundred times their
 * length in memory. Heads of ordinary requests fit.
 */
const PIECE_BYTES = 2 * 1024
/** Bytes that an unfinished head takes for each byte of it: the shortest header lines have four bytes. */
const HEAD_FACTOR = 16

type ReadSocket = (bytes: Buffer) => void

interface ClientConnectionParts {
  /** Whether bodies of requests count. */
  includesBodies: boolean
  queue: FeedQueue
  /** Adds to the bytes that all clients of the port hold. */
  charge: (bytes: number) => void
  /** Whether further requests are read on a connection on which so many wait for their answers. */
  allowRead: (waiting: number) => boolean
  /** Called with each answer that has been sent in full. */
  handleAnswered: () => void
}

/**
 * One client's connection. Passes received bytes to Node's parser in pieces, in turn with the other connections of the port, and counts
 * what the client holds: requests until their answers have been sent, and what has been received of the next one.
 */
export class ClientConnection {
  private held = 0
  /** Bytes counted for the head that is being received. */
  private headBytes = 0
  /** Bytes counted for each request that has not been answered in full. */
  private readonly requests = new Map<ServerResponse, number>()
  private readCount = 0
  private last: IncomingMessage | undefined
  private lastResponse: ServerResponse | undefined
  /** Received bytes that the parser has not got. */
  private rest: Buffer | undefined
  /** Whether this object has paused the socket; Node and readers of bodies pause and resume it too. */
  private isHeldBack = false
  private isClosed = false
  /** Unsent answers at the last check, and since when they have been the same. */
  private unsent = { waiting: 0, bytes: 0, since: 0 }
  private readonly passToParser: ReadSocket
  private readonly readOn = (): void => { this.readRest() }

  constructor (readonly socket: Socket, private readonly parts: ClientConnectionParts) {
    // Node's listener gets its bytes from here. Adding a listener also stops Node from parsing below the stream, where nothing is seen.
    const [passToParser] = socket.listeners('data') as ReadSocket[]
    if (passToParser === undefined) throw new TypeError('the socket has no reader: guard it after the HTTP server has taken it over')
    this.passToParser = passToParser
    socket.removeListener('data', passToParser)
    socket.on('data', (bytes: Buffer) => { this.receive(bytes) })
    socket.on('resume', () => { this.handleResume() })
    socket.once('close', () => { this.release() })
  }

  /** Estimated bytes that the client holds. */
  get heldBytes (): number {
    return this.held
  }

  /** Number of requests that have been read and not answered in full. */
  get waiting (): number {
    return this.requests.size
  }

  /** Counts a request until its answer has been sent in full. */
  observeRequest (message: IncomingMessage, response: ServerResponse): void {
    this.readCount += 1
    this.last = message
    this.lastResponse = response
    this.setHeadBytes(0)
    if (this.isClosed) return
    const bytes = estimateRequestBytes(message.url ?? '', message.rawHeaders)
    this.requests.set(response, bytes)
    this.charge(bytes)
    response.once('close', () => { this.observeAnswer(response) })
  }

  /** Whether the client has not taken any of its answers for so many milliseconds. */
  isStalled (now: number, timeoutMs: number): boolean {
    const { waiting, unsent, socket: { writableLength: bytes } } = this
    const hasMoved = bytes === 0 || waiting !== unsent.waiting || bytes !== unsent.bytes
    if (hasMoved) this.unsent = { waiting, bytes, since: now }
    return !hasMoved && now - unsent.since >= timeoutMs
  }

  close (): void {
    this.release()
    this.socket.destroy()
  }

  private receive (bytes: Buffer): void {
    // Another reader may have resumed the socket.
    if (this.isHeldBack) this.holdBack(this.rest === undefined ? bytes : Buffer.concat([this.rest, bytes]))
    else if (this.parts.queue.isBusy && bytes.length > PIECE_BYTES) this.holdBack(bytes)
    else this.passOn(bytes)
  }

  private passOn (bytes: Buffer): void {
    const { socket, parts } = this
    for (let offset = 0; offset < bytes.length; offset += PIECE_BYTES) {
      const { readCount, isReadingBody } = this
      const piece = bytes.length <= PIECE_BYTES ? bytes : bytes.subarray(offset, offset + PIECE_BYTES)
      this.passToParser(piece)
      if (socket.destroyed || this.isClosed) return
      const hasReadRequest = this.readCount > readCount
      if (!hasReadRequest) this.count(piece.length, isReadingBody)
      const rest = bytes.subarray(offset + PIECE_BYTES)
      const mustYield = hasReadRequest && rest.length > 0
      if (socket.isPaused()) {
        this.setRest(rest)
        return
      }
      if (mustYield || !parts.allowRead(this.waiting)) {
        this.holdBack(rest)
        return
      }
    }
  }

  private get isReadingBody (): boolean {
    return this.last?.complete === false
  }

  /** Counts bytes with which no head ended. */
  private count (bytes: number, isBody: boolean): void {
    if (!isBody) this.setHeadBytes(this.headBytes + bytes * HEAD_FACTOR)
    else if (this.parts.includesBodies) this.countBody(bytes)
  }

  private countBody (bytes: number): void {
    const { lastResponse } = this
    const before = lastResponse === undefined ? undefined : this.requests.get(lastResponse)
    if (lastResponse === undefined || before === undefined) return
    this.requests.set(lastResponse, before + bytes)
    this.charge(bytes)
  }

  /** Stops reading until it is this connection's turn and its requests may be read. */
  private holdBack (rest: Buffer): void {
    this.setRest(rest)
    this.isHeldBack = true
    this.socket.pause()
    this.scheduleRead()
  }

  private scheduleRead (): void {
    if (this.parts.allowRead(this.waiting)) this.parts.queue.push(this.readOn)
  }

  private readRest (): void {
    const { rest, socket, parts } = this
    if (!this.isHeldBack || this.isClosed || !parts.allowRead(this.waiting)) return
    this.isHeldBack = false
    this.setRest(undefined)
    // Before the bytes are passed on, so that a pause by another reader is seen.
    socket.resume()
    if (rest !== undefined) this.passOn(rest)
  }

  /** Handles that the socket was resumed, by this object or by another reader. */
  private handleResume (): void {
    if (this.isHeldBack) this.socket.pause()
    else if (this.rest !== undefined) this.holdBack(this.rest)
  }

  private observeAnswer (response: ServerResponse): void {
    const bytes = this.requests.get(response)
    if (bytes === undefined) return
    this.requests.delete(response)
    this.charge(-bytes)
    this.parts.handleAnswered()
    if (this.isHeldBack) this.scheduleRead()
  }

  private setRest (rest: Buffer | undefined): void {
    const before = this.rest?.length ?? 0
    this.rest = rest?.length === 0 ? undefined : rest
    this.charge((this.rest?.length ?? 0) - before)
  }

  private setHeadBytes (bytes: number): void {
    if (bytes === this.headBytes) return
    const before = this.headBytes
    this.headBytes = bytes
    this.charge(bytes - before)
  }

  private charge (bytes: number): void {
    if (bytes === 0 || this.isClosed) return
    this.held += bytes
    this.parts.charge(bytes)
  }

  private release (): void {
    if (this.isClosed) return
    this.charge(-this.held)
    this.isClosed = true
    this.rest = undefined
    this.requests.clear()
    this.parts.queue.drop(this.readOn)
  }
}
