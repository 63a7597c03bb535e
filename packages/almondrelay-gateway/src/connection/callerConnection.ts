import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerAnswer } from './callerAnswer.js'
import { encodeReadFailure } from './encodeReadFailure.js'
import { findReadFailure } from './findReadFailure.js'
import { HeldBytes } from './heldBytes.js'
import type { MessageMemory } from './messageMemory.js'
import { ReadFailure } from './readFailure.js'
import type { ReadFailureReport } from './readFailureReport.js'
import { READ_TIMEOUT_MS } from './readTimeoutMs.js'

/** Size of an answer body, in bytes, from which the caller must read it within a limited time: smaller ones fit into the kernel's buffer. */
const MIN_TIMED_BYTES = 16 * 1024
/**
 * Milliseconds that a late request still has once the connection has nothing else to answer: the rest of it may have arrived while
 * this process was stopped, or while it did not read the connection because of answers that the caller had not read.
 */
const LATE_REQUEST_MARGIN_MS = 1_000
/** Milliseconds for which a connection is read after its last answer, unless the caller closes it before. */
const LINGER_TIMEOUT_MS = 5_000
/** Bytes that are read and dropped in that time. */
const MAX_LINGER_BYTES = 1024 * 1024
/** Status in place of an answer that can't be written. */
const UNWRITABLE_STATUS = 502

/** One request of a connection, from its head to the end of its answer. */
interface Exchange {
  message: IncomingMessage
  response: ServerResponse
  callerLeft: AbortController
  held: HeldBytes
  answer: CallerAnswer | undefined
  isWritten: boolean
}

interface CallerConnectionParts {
  memory: MessageMemory
  reportReadFailure: (report: ReadFailureReport) => void
  handleClose: () => void
  logError: (error: Error) => void
}

/**
 * A caller's connection: the only place that writes to it, closes it, or decides whether a request on it is handled.
 *
 * Answers are written in the order of their requests, each once those before it have been sent. A request that can't be read is answered
 * in its turn too: any status written earlier would be taken for the answer to a request that is running.
 */
export class CallerConnection {
  private readonly exchanges: Exchange[] = []
  /** The host is being stopped: the answer to the last request that was read closes the connection. */
  private isLeaving = false
  /** The host takes no more requests but those that have arrived, at least in part. */
  private isClosed = false
  /** Whether the caller has been told that the connection ends: by an answer that says so, or by its end. */
  private isEnding = false
  /** The request whose head was read last; it may have been answered. */
  private last: Exchange | undefined
  /** Why what follows on the connection can't be read. */
  private failure: ReadFailure | undefined
  /** Whether the server has reported that a head, or the body of the last request, hasn't arrived in time. */
  private isLate = false
  private isLateInBody = false
  private lateTimer: NodeJS.Timeout | undefined
  /** Bytes read on the connection when the last answer was sent; any beyond them are the beginning of another request. */
  private bytesReadAtLastAnswer = 0
  /** Set while the connection is read after its last answer. */
  private lingerTimer: NodeJS.Timeout | undefined

  constructor (private readonly socket: Socket, private readonly parts: CallerConnectionParts) {
    // Listens on the socket and not on each response: one that is queued behind another gets no event when the caller disconnects.
    socket.once('end', () => { this.abortAll() })
    socket.once('close', () => { this.handleClose() })
  }

  /** Number of requests that were read in full and whose answers have not been sent in full. */
  get unanswered (): number {
    return this.exchanges.filter(({ message, answer }) => message.complete || answer !== undefined).length
  }

  /** Whether a part of a request has been received. */
  get isArriving (): boolean {
    return this.exchanges.length === 0 ? this.socket.bytesRead > this.bytesReadAtLastAnswer : this.unanswered < this.exchanges.length
  }

  /** Whether the last answer has been written and the caller has not ended the connection. */
  get isLingering (): boolean {
    return this.lingerTimer !== undefined
  }

  /** Whether no request has been read on the connection. */
  get isUnused (): boolean {
    return this.last === undefined
  }

  /** Takes in a request; undefined if it is not to be handled. */
  accept (message: IncomingMessage, response: ServerResponse): Exchange | undefined {
    this.clearLate()
    // The caller assumes that requests after the last answer were not read and sends them again: if handled here, they would run twice.
    if (this.socket.destroyed || this.isEnding || this.isLastDue) return undefined
    const exchange = { message, response, callerLeft: new AbortController(), held: new HeldBytes(this.parts.memory), answer: undefined, isWritten: false }
    this.exchanges.push(exchange)
    this.last = exchange
    response.once('finish', () => { this.finish(exchange) })
    return exchange
  }

  /** Gives a request its answer; without one the connection ends. Nothing happens if its caller has left. */
  answer (exchange: Exchange, answer: CallerAnswer | undefined): void {
    if (exchange.answer !== undefined || !this.exchanges.includes(exchange)) return
    if (answer === undefined) {
      this.socket.destroy()
      return
    }
    exchange.answer = answer
    exchange.held.hold(answer.body.length)
    this.writeNext()
  }

  /** Makes the answer to the last request close the connection, so that the caller connects to another host. */
  leave (): void {
    this.isLeaving = true
  }

  /**
   * Handles no requests but those that were read; closes an idle connection. A request of which a part has been received is read to its
   * end and answered.
   */
  close (): void {
    this.isLeaving = true
    this.isClosed = this.exchanges.length > 0 || !this.isArriving
    this.closeUnused()
  }

  /** Handles an error of the socket or of reading the next request. */
  handleError (error: NodeJS.ErrnoException): void {
    const failure = findReadFailure(error.code)
    if (failure === undefined || this.socket.readableEnded) {
      this.socket.destroy()
    } else if (failure === ReadFailure.late) {
      this.isLate = true
      this.isLateInBody = this.isReadingBody
      this.startLateTimer()
    } else if (failure !== ReadFailure.afterLast) {
      this.handleReadFailure(failure)
    }
  }

  private get isReadingBody (): boolean {
    return this.last !== undefined && !this.last.message.complete
  }

  private handleReadFailure (failure: ReadFailure): void {
    // Behind an answer that closes the connection nothing is a request, and nothing more is written.
    if (this.isEnding) return
    this.failure = failure
    this.isEnding = true
    this.clearLate()
    if (this.isReadingBody && this.last?.answer === undefined) {
      this.last?.callerLeft.abort()
      this.exchanges.pop()
    }
    this.parts.reportReadFailure({ failure, waiting: this.exchanges.length, ip: this.socket.remoteAddress })
    this.closeUnreadable()
  }

  /** Writes the next answer if it is known and those before it have been sent. */
  private writeNext (): void {
    const [exchange] = this.exchanges
    if (exchange?.answer === undefined || exchange.isWritten) return
    exchange.isWritten = true
    const { response, answer: { status, headers, body } } = exchange
    // Decided only now, as the host may have begun to stop, or a further request may have arrived, since the answer was ready.
    const isLast = this.isLeaving && this.exchanges.length === 1 && this.failure === undefined
    if (isLast) this.closeWithAnswer()
    if (body.length >= MIN_TIMED_BYTES) this.startReadTimer(response)
    try {
      response.writeHead(status, isLast ? [...headers, 'Connection', 'close'] : headers)
      response.end(body)
    } catch (error) {
      // Headers that Node doesn't write cost their own request alone, and not the others on the connection.
      this.parts.logError(error as Error)
      response.writeHead(UNWRITABLE_STATUS, ['Content-Length', '0', ...(isLast ? ['Connection', 'close'] : [])])
      response.end()
    }
  }

  // Node calls `destroySoon` after an answer that says "Connection: close". Its own destroys the socket as soon as the answer is in the
  // kernel's buffer, and closing a socket with unread bytes, such as further requests, resets it: what is left of the answer is lost.
  private closeWithAnswer (): void {
    this.isEnding = true
    this.socket.destroySoon = () => { this.closeLingering() }
  }

  private startReadTimer (response: ServerResponse): void {
    const timer = setTimeout(() => { this.socket.destroy() }, READ_TIMEOUT_MS)
    response.once('close', () => { clearTimeout(timer) })
  }

  private finish (exchange: Exchange): void {
    const index = this.exchanges.indexOf(exchange)
    if (index < 0) return
    this.exchanges.splice(index, 1)
    exchange.held.release()
    this.bytesReadAtLastAnswer = this.socket.bytesRead
    this.startLateTimer()
    this.closeUnreadable()
    this.closeUnused()
    this.writeNext()
  }

  /** Whether the last request that was read will be told that the connection ends. */
  private get isLastDue (): boolean {
    return this.isClosed && this.exchanges.at(-1)?.isWritten === false
  }

  /** Closes the connection of a host that takes no more requests if nothing is to be answered on it. */
  private closeUnused (): void {
    if (!this.isClosed || this.isEnding || this.exchanges.length > 0) return
    this.isEnding = true
    // Not read any further: a request that crosses with the end is then known to its caller not to have been read.
    this.socket.end(() => { this.socket.destroy() })
  }

  /** Ends the connection on this side, and reads and drops what the caller still sends until it ends its own. */
  private closeLingering (): void {
    if (this.lingerTimer !== undefined || this.socket.destroyed) return
    this.isEnding = true
    this.socket.end()
    const bytesRead = this.socket.bytesRead
    this.socket.on('data', () => { if (this.socket.bytesRead - bytesRead > MAX_LINGER_BYTES) this.socket.destroy() })
    this.lingerTimer = setTimeout(() => { this.socket.destroy() }, LINGER_TIMEOUT_MS)
  }

  /** Answers a request that could not be read, once the requests before it have been answered, and closes the connection. */
  private closeUnreadable (): void {
    if (this.failure === undefined || this.exchanges.length > 0) return
    // The request was answered before its body was read: a second answer would belong to no request.
    const isAnswered = this.isReadingBody && this.last?.answer !== undefined
    if (!isAnswered && this.socket.writable) this.socket.write(encodeReadFailure(this.failure))
    this.closeLingering()
  }

  private startLateTimer (): void {
    const [exchange] = this.exchanges
    if (!this.isLate || this.lateTimer !== undefined || exchange?.message.complete === true) return
    this.lateTimer = setTimeout(() => {
      if (!this.isLateInBody || this.isReadingBody) this.handleReadFailure(ReadFailure.late)
    }, LATE_REQUEST_MARGIN_MS)
  }

  private clearLate (): void {
    this.isLate = false
    clearTimeout(this.lateTimer)
    this.lateTimer = undefined
  }

  private abortAll (): void {
    for (const { callerLeft } of this.exchanges) callerLeft.abort()
  }

  private handleClose (): void {
    this.clearLate()
    clearTimeout(this.lingerTimer)
    this.abortAll()
    for (const { held } of this.exchanges.splice(0)) held.release()
    this.parts.handleClose()
  }
}
