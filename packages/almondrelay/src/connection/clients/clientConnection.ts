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
/** Bytes of a head beyond which Node refuses it. */
const MAX_HEAD_BYTES = 16 * 1024
const NO_BYTES = Buffer.alloc(0)

type ReadSocket = (bytes: Buffer) => void

/** What a connection needs to know of its port, and tells it. */
interface ClientPort {
  readonly queue: FeedQueue
  /** Whether bodies of requests count. */
  readonly includesBodies: boolean
  /** Adds to the bytes that all clients of the port hold. */
  charge: (bytes: number) => void
  /** Whether further requests are read on a connection on which so many wait for their answers. */
  allowRead: (waiting: number) => boolean
}

/**
 * One client's connection. Counts what the client holds: requests until their answers have been sent, and what has been received of the
 * next one. Once it is paced, it passes received bytes to Node's parser in pieces, in turn with the other connections of the port.
 */
export class ClientConnection {
  private held = 0
  /** Bytes counted for the head that is being received. */
  private headBytes = 0
  /** Bytes counted for each request that has not been answered in full. */
  private readonly requests = new Map<ServerResponse, number>()
  private readCount = 0
  /** Bytes that the socket had received when the last request was read. */
  private bytesReadAtRequest = 0
  private last: IncomingMessage | undefined
  private lastResponse: ServerResponse | undefined
  /** Received bytes that the parser has not got. */
  private rest: Buffer | undefined
  /** Whether this object has paused the socket. Node and readers of bodies pause and resume it too, and don't know of it. */
  private isHeldBack = false
  private isClosed = false
  private isWatchingResume = false
  /** Order of the last answer among those of the port; 0 before the first. */
  lastAnswer = 0
  /** Unsent answers at the last check, and since when they have been the same. */
  private unsent = { waiting: 0, bytes: 0, since: 0 }
  /** Node's reader; undefined until the connection is paced. */
  private passToParser: ReadSocket | undefined
  private readonly readOn = (): void => { this.readRest() }

  constructor (readonly socket: Socket, private readonly port: ClientPort) {}

  /** Whether a request has been read. */
  get hasRequested (): boolean {
    return this.last !== undefined
  }

  /** Passes received bytes on in pieces and in turn from now on. Until then Node parses them below the stream, which takes less processor time. */
  beginPacing (): void {
    if (this.passToParser !== undefined || this.isClosed || this.socket.destroyed) return
    const [passToParser] = this.socket.listeners('data') as ReadSocket[]
    if (passToParser === undefined) return
    this.passToParser = passToParser
    this.socket.removeListener('data', passToParser)
    // Adding a listener also makes Node read through the stream.
    this.socket.on('data', (bytes: Buffer) => { this.receive(bytes) })
    if (!this.isReadingBody) this.count(Math.min(this.countUnreadBytes(), MAX_HEAD_BYTES), false)
    if (!this.isReadable && !this.socket.isPaused()) this.holdBack(NO_BYTES)
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
    if (this.isClosed) return
    const bytes = estimateRequestBytes(Math.min(this.countUnreadBytes(), MAX_HEAD_BYTES), message.rawHeaders.length / 2)
    this.bytesReadAtRequest = this.socket.bytesRead
    this.requests.set(response, bytes)
    this.charge(bytes - this.headBytes)
    this.headBytes = 0
  }

  /** Returns whether the answer belongs to a request of this connection that was still counted. */
  observeAnswer (response: ServerResponse): boolean {
    const bytes = this.requests.get(response)
    if (bytes === undefined) return false
    this.requests.delete(response)
    this.charge(-bytes)
    if (this.isHeldBack) this.scheduleRead()
    return true
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
    else if (bytes.length > PIECE_BYTES && this.port.queue.isBusy) this.holdBack(bytes)
    else this.passOn(bytes)
  }

  private passOn (bytes: Buffer): void {
    const { socket } = this
    for (let offset = 0; offset < bytes.length; offset += PIECE_BYTES) {
      const { readCount, isReadingBody } = this
      const piece = bytes.length <= PIECE_BYTES ? bytes : bytes.subarray(offset, offset + PIECE_BYTES)
      this.passToParser?.(piece)
      if (socket.destroyed || this.isClosed) return
      const hasReadRequest = this.readCount > readCount
      if (!hasReadRequest) this.count(piece.length, isReadingBody)
      const hasMore = offset + PIECE_BYTES < bytes.length
      if (socket.isPaused()) {
        if (hasMore) this.setRest(bytes.subarray(offset + PIECE_BYTES))
        return
      }
      if ((hasReadRequest && hasMore) || !this.isReadable) {
        this.holdBack(bytes.subarray(offset + PIECE_BYTES))
        return
      }
    }
  }

  private countUnreadBytes (): number {
    return this.socket.bytesRead - this.bytesReadAtRequest
  }

  private get isReadingBody (): boolean {
    return this.last?.complete === false
  }

  /** Whether further bytes may be read. Those of a request that counts already are: it could not be answered otherwise. */
  private get isReadable (): boolean {
    return this.isReadingBody || this.port.allowRead(this.waiting)
  }

  /** Counts bytes with which no head ended. */
  private count (bytes: number, isBody: boolean): void {
    if (!isBody) {
      this.headBytes += bytes * HEAD_FACTOR
      this.charge(bytes * HEAD_FACTOR)
    } else if (this.port.includesBodies) this.countBody(bytes)
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
    this.watchResume()
    this.socket.pause()
    this.scheduleRead()
  }

  private scheduleRead (): void {
    if (this.isReadable) this.port.queue.push(this.readOn)
  }

  private readRest (): void {
    const { rest, socket } = this
    if (!this.isHeldBack || this.isClosed || !this.isReadable) return
    this.isHeldBack = false
    this.setRest(undefined)
    // Before the bytes are passed on, so that a pause by another reader is seen.
    socket.resume()
    if (rest !== undefined) this.passOn(rest)
  }

  private watchResume (): void {
    if (this.isWatchingResume) return
    this.isWatchingResume = true
    this.socket.on('resume', () => { this.handleResume() })
  }

  /** Handles that the socket was resumed, by this object or by another reader. */
  private handleResume (): void {
    if (this.isHeldBack) this.socket.pause()
    else if (this.rest !== undefined) this.holdBack(this.rest)
  }

  private setRest (rest: Buffer | undefined): void {
    const before = this.rest?.length ?? 0
    this.rest = rest?.length === 0 ? undefined : rest
    this.watchResume()
    this.charge((this.rest?.length ?? 0) - before)
  }

  private charge (bytes: number): void {
    if (bytes === 0 || this.isClosed) return
    this.held += bytes
    this.port.charge(bytes)
  }

  /** Gives back what the client held; nothing is counted or read from now on. */
  release (): void {
    if (this.isClosed) return
    this.charge(-this.held)
    this.isClosed = true
    this.rest = undefined
    this.requests.clear()
    this.port.queue.drop(this.readOn)
  }
}
