import { connect, type Socket } from 'node:net'
import type { AttemptResult } from '../request/attemptResult.js'
import type { TargetAnswerHead } from '../request/targetAnswerHead.js'
import type { TargetRequest } from '../request/targetRequest.js'
import { AnswerOrigin } from './answerOrigin.js'
import { AnswerReader } from './answerReader.js'
import type { AnswerUse } from './answerUse.js'
import { BODILESS_STATUSES } from './bodilessStatuses.js'
import { ConnectFailure } from './connectFailure.js'
import type { ConnectResult } from './connectResult.js'
import type { ConnectionParts } from './connectionParts.js'
import { findAnswerOrigin } from './findAnswerOrigin.js'
import { isDelimited } from './isDelimited.js'
import { OpenCause } from './openCause.js'
import { PassedOverBody } from './passedOverBody.js'
import type { SentRequest } from './sentRequest.js'
import { StrayAnswerHandling } from './strayAnswerHandling.js'
import { UnsoundAnswer } from './unsoundAnswer.js'
import { UnsoundReason } from './unsoundReason.js'

/** Milliseconds for which an idle connection is reused if the target states no keep-alive timeout. */
const DEFAULT_IDLE_TIMEOUT_MS = 500
/** Milliseconds subtracted from a target's keep-alive timeout: the target's close and the next request may cross on the network. */
const IDLE_MARGIN_MS = 750

/** Requests whose further answers are recognised: a target that answers twice does so before it has answered many others. */
const MAX_ANSWERED = 32
/** Characters of an id above which its connection isn't used again, so that the ids that are kept stay small. */
const MAX_KEPT_ID = 256
/** Repeated answers that are passed over while one request waits. */
const MAX_PASSED_OVER = 16

interface PendingRequest extends SentRequest {
  finish: (result: AttemptResult) => void
}

/** Connection to a target, with at most one pending request. */
export class TargetConnection {
  private pending: PendingRequest | undefined
  private readonly reader: AnswerReader
  private isOpen = false
  private isDestroyed = false
  private isReserved = false
  /** Repeated answers passed over while the pending request waits; the connection closes with its answer. */
  private passedOver = 0
  /** The last requests that were answered, oldest first. */
  private readonly answered: SentRequest[] = []
  /** Why the connection closes after its next answer; undefined while it may be reused. */
  private closeReason: string | undefined
  private unusableAt = Infinity

  private constructor (private readonly socket: Socket, address: string, private readonly parts: ConnectionParts, private readonly handleClose: (cause: OpenCause) => void) {
    this.reader = new AnswerReader(parts.codec, parts.memory, (answer) => { this.handleAnswer(answer) }, {
      receiving: { sender: address, abort: () => { this.closeUnsound(new UnsoundAnswer(UnsoundReason.noRoom, 'its target holds most of the memory for answers')) } },
      sortAnswer: (head) => this.sortAnswer(head)
    })
    socket.setNoDelay(true)
    socket.on('data', (bytes: Buffer) => { this.readSafely(() => { this.acceptBytes(bytes) }) })
    socket.on('end', () => { this.readSafely(() => { this.handleEnd() }) })
    socket.on('error', (error: NodeJS.ErrnoException) => { this.close(error.code ?? error.message) })
    socket.on('close', () => { this.close('closed') })
  }

  /**
   * Resolves once the connection is open, or with the reason why it could not be opened in time.
   *
   * @param handleClose called when the connection closes, with the cause for which the next one has to be opened
   */
  static async open (ip: string, port: number, timeoutMs: number, parts: ConnectionParts, handleClose: (cause: OpenCause) => void): Promise<ConnectResult> {
    const socket = connect({ host: ip, port })
    const connection = new TargetConnection(socket, `${ip}:${port}`, parts, handleClose)
    return new Promise((resolve) => {
      let failure: ConnectFailure = ConnectFailure.lost
      const timer = setTimeout(() => { failure = ConnectFailure.timedOut; connection.close(failure) }, timeoutMs)
      socket.once('error', (error: NodeJS.ErrnoException) => { if (error.code === 'ECONNREFUSED') failure = ConnectFailure.refused })
      socket.once('connect', () => { clearTimeout(timer); connection.isOpen = true; connection.take(); resolve({ kind: 'connected', connection }) })
      socket.once('close', () => { clearTimeout(timer); resolve({ kind: 'failed', failure }) })
    })
  }

  isUsable (now: number): boolean {
    return this.isOpen && !this.isDestroyed && !this.isReserved && now < this.unusableAt && this.socket.writableLength === 0
  }

  /** Whether a request with this id was answered on the connection, so that a further answer to it could be taken for that of the next sending. */
  hasAnswered (requestId: string): boolean {
    return this.answered.some(({ id }) => id === requestId)
  }

  /** Reserves the connection for one request: otherwise two requests in the same turn of the event loop would share it. */
  take (): void {
    this.isReserved = true
  }

  /** Returns a reserved connection on which no request was sent. */
  release (): void {
    this.isReserved = false
    if (this.closeReason !== undefined) this.close(this.closeReason)
  }

  /** Closes the connection now, or after the answer to its pending request. */
  closeWhenFree (reason: string): void {
    if (this.isReserved) this.closeReason = reason
    else this.close(reason)
  }

  get isClosed (): boolean {
    return this.isDestroyed
  }

  get isBusy (): boolean {
    return this.isReserved
  }

  /** Sends a request and waits for the first answer to it. */
  exchange (request: Pick<TargetRequest, 'id' | 'method' | 'body'>, head: string): Promise<AttemptResult> {
    if (this.isDestroyed) return Promise.resolve({ kind: 'not-sent', reason: 'connection lost before the request' })
    return new Promise((resolve) => {
      this.pending = { id: request.id, isHead: request.method === 'HEAD', finish: resolve }
      if (request.body.length === 0) {
        this.socket.write(head, 'latin1')
        return
      }
      this.socket.cork()
      this.socket.write(head, 'latin1')
      this.socket.write(request.body)
      this.socket.uncork()
    })
  }

  /**
   * Closes the connection and abandons a pending request, which makes most targets abort it. It is then closed by a TCP reset, because the
   * kernel would otherwise go on sending a request that a link holds back, and it would run when its target may have left.
   */
  close (reason: string): void {
    const cause = this.pending === undefined && this.isOpen ? OpenCause.closed : OpenCause.failure
    if (this.pending === undefined) this.closeWith(reason, cause, () => { this.socket.destroy() })
    else this.reset(reason)
  }

  /** Closes a connection that has been idle for too long. */
  closeUnused (): void {
    this.closeWith('unused', OpenCause.idle, () => { this.socket.destroy() })
  }

  /** Closes the connection by a TCP reset: bytes that a link holds back are then not delivered later. */
  reset (reason: string): void {
    this.closeWith(reason, OpenCause.failure, () => { this.socket.resetAndDestroy() })
  }

  private closeWith (reason: string, cause: OpenCause, closeSocket: () => void): void {
    if (this.isDestroyed) return
    this.isDestroyed = true
    closeSocket()
    this.reader.drop()
    this.finish({ kind: 'broken', reason })
    this.handleClose(cause)
  }

  // An answer whose handling throws must fail only its own request, and not end the process with all other requests.
  private readSafely (read: () => void): void {
    try {
      read()
    } catch (error) {
      if (error instanceof UnsoundAnswer) this.closeUnsound(error)
      else this.close(`answer that can't be dealt with: ${(error as Error).message}`)
    }
  }

  private closeUnsound ({ reason, message }: UnsoundAnswer): void {
    if (!this.isDestroyed) this.parts.observeUnsound(reason)
    this.close(message)
  }

  // Nothing can be expected behind bytes that no request asked for, so the connection closes (RFC 9112, section 9.2).
  private acceptBytes (bytes: Buffer): void {
    this.reader.acceptBytes(bytes)
    if (this.pending === undefined && !this.isDestroyed && !this.reader.isBetweenAnswers) throw new UnsoundAnswer(UnsoundReason.unrequested, 'bytes that no request asked for')
  }

  // If the last bytes and a reset arrive together, Node reports an ordinary end of the stream, and a truncated answer without a
  // length would count as complete. A socket that was reset no longer has a remote address.
  private handleEnd (): void {
    const wasReset = this.socket.remoteAddress === undefined
    if (!wasReset) this.reader.finishStream()
    this.close(wasReset ? 'reset by the target' : 'ended by the target')
  }

  // A target may answer a request twice, the second time late and with another status. Passed on, a second answer would give a caller
  // another caller's data, or a success where the target had failed.
  private sortAnswer (head: TargetAnswerHead): AnswerUse {
    const { pending, answered } = this
    switch (findAnswerOrigin(head, pending, answered)) {
      case AnswerOrigin.awaited: return { isBodiless: pending?.isHead === true, passedOver: undefined }
      case AnswerOrigin.repeated: return this.passOver(head)
      case AnswerOrigin.unknown: return this.rejectAnswer(head, new UnsoundAnswer(UnsoundReason.unknownRequest, 'it names another request, or none'))
      case AnswerOrigin.unrequested: return this.rejectAnswer(head, new UnsoundAnswer(UnsoundReason.unrequested, 'an answer that no request asked for'))
    }
  }

  private passOver (head: TargetAnswerHead): AnswerUse {
    const isBodiless = BODILESS_STATUSES.includes(head.status) || this.answered.some(({ id, isHead }) => id === head.requestId && isHead)
    if (!isBodiless && !isDelimited(head.rawHeaders)) return this.rejectAnswer(head, new UnsoundAnswer(UnsoundReason.repeated, 'it can\'t follow a repeated answer without an end'))
    this.passedOver += 1
    if (this.passedOver > MAX_PASSED_OVER) return this.rejectAnswer(head, new UnsoundAnswer(UnsoundReason.repeated, 'it has not come behind many repeated answers'))
    this.reportStray(StrayAnswerHandling.passedOver, head)
    this.closeReason ??= 'the target repeats answers'
    return { isBodiless, passedOver: new PassedOverBody() }
  }

  private rejectAnswer (head: TargetAnswerHead, error: UnsoundAnswer): never {
    if (!this.isDestroyed) this.reportStray(this.pending === undefined ? StrayAnswerHandling.connectionClosed : StrayAnswerHandling.requestFailed, head)
    throw error
  }

  private reportStray (handling: StrayAnswerHandling, { status, requestId }: TargetAnswerHead): void {
    this.parts.observeStray({ handling, status, requestId: requestId?.slice(0, MAX_KEPT_ID), awaitedId: this.pending?.id })
  }

  private handleAnswer (answer: { head: TargetAnswerHead, body: Buffer }): void {
    const idleMs = answer.head.keepAliveMs === undefined ? DEFAULT_IDLE_TIMEOUT_MS : answer.head.keepAliveMs - IDLE_MARGIN_MS
    this.unusableAt = this.parts.getNow() + idleMs
    this.keepAnswered()
    this.finish({ kind: 'answered', ...answer })
    if (answer.head.closesConnection) this.close('last answer')
    else if (this.closeReason !== undefined) this.close(this.closeReason)
  }

  private keepAnswered (): void {
    if (this.pending === undefined) return
    if (this.pending.id.length > MAX_KEPT_ID) this.closeReason ??= 'the id is too long to be kept'
    this.answered.push({ id: this.pending.id, isHead: this.pending.isHead })
    if (this.answered.length > MAX_ANSWERED) this.answered.shift()
  }

  private finish (result: AttemptResult): void {
    const { pending } = this
    this.pending = undefined
    this.isReserved = false
    pending?.finish(result)
  }
}
