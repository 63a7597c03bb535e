import { connect, type Socket } from 'node:net'
import type { AttemptResult } from '../request/attemptResult.js'
import type { CallerRequest } from '../request/callerRequest.js'
import type { TargetAnswerHead } from '../request/targetAnswerHead.js'
import { AnswerReader } from './answerReader.js'
import { ConnectFailure } from './connectFailure.js'
import type { ConnectResult } from './connectResult.js'
import type { ConnectionParts } from './connectionParts.js'

/** Unused time, in milliseconds, after which a connection of a target that states no limit isn't trusted any more. */
const UNSTATED_IDLE_MS = 500
/** Milliseconds taken off a target's stated limit: its close and our next request may cross on the way. */
const IDLE_MARGIN_MS = 750

interface Pending {
  requestId: string
  finish: (result: AttemptResult) => void
}

/** One connection to a target, with at most one request out. */
export class TargetConnection {
  private pending: Pending | undefined
  private readonly reader: AnswerReader
  private isOpen = false
  private isDone = false
  private isTaken = false
  /** Why the connection is to end with its next answer; undefined while it is to be used again. */
  private closeReason: string | undefined
  private unusableAt = Infinity

  private constructor (private readonly socket: Socket, private readonly parts: ConnectionParts, private readonly handleClose: () => void) {
    this.reader = new AnswerReader(parts.codec, parts.memory, (answer) => { this.handleAnswer(answer) })
    socket.setNoDelay(true)
    socket.on('data', (bytes: Buffer) => { this.readWithin(() => { if (!this.reader.acceptBytes(bytes)) this.close('bytes that are no answer, or more than there is room for') }) })
    socket.on('end', () => { this.readWithin(() => { this.handleEnd() }) })
    socket.on('error', (error: NodeJS.ErrnoException) => { this.close(error.code ?? error.message) })
    socket.on('close', () => { this.close('closed') })
  }

  /** Resolves once the connection stands, or with the reason why it isn't to be had in time. */
  static async open (ip: string, port: number, timeoutMs: number, parts: ConnectionParts, handleClose: () => void): Promise<ConnectResult> {
    const socket = connect({ host: ip, port })
    const connection = new TargetConnection(socket, parts, handleClose)
    return new Promise((resolve) => {
      let failure: ConnectFailure = ConnectFailure.lost
      const timer = setTimeout(() => { failure = ConnectFailure.timedOut; connection.close(failure) }, timeoutMs)
      socket.once('error', (error: NodeJS.ErrnoException) => { if (error.code === 'ECONNREFUSED') failure = ConnectFailure.refused })
      socket.once('connect', () => { clearTimeout(timer); connection.isOpen = true; connection.take(); resolve({ kind: 'connected', connection }) })
      socket.once('close', () => { clearTimeout(timer); resolve({ kind: 'failed', failure }) })
    })
  }

  isUsable (now: number): boolean {
    return this.isOpen && !this.isDone && !this.isTaken && now < this.unusableAt && this.socket.writableLength === 0
  }

  /** Holds the connection for one request; two that ask in the same turn of the loop would else share it. */
  take (): void {
    this.isTaken = true
  }

  /** Gives the connection back without a request. */
  release (): void {
    this.isTaken = false
    if (this.closeReason !== undefined) this.close(this.closeReason)
  }

  /** Ends the connection now, or with the answer that it waits for. */
  closeWhenFree (reason: string): void {
    if (this.isTaken) this.closeReason = reason
    else this.close(reason)
  }

  get isClosed (): boolean {
    return this.isDone
  }

  get isBusy (): boolean {
    return this.isTaken
  }

  /** Sends a request and waits for its answer. An answer to another request is skipped: its bytes belong to nobody. */
  exchange (request: CallerRequest, head: string): Promise<AttemptResult> {
    if (this.isDone) return Promise.resolve({ kind: 'not-sent', reason: 'connection lost before the request' })
    return new Promise((resolve) => {
      this.pending = { requestId: request.id, finish: resolve }
      this.reader.isBodiless = request.method === 'HEAD'
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

  /** Ends the connection; a request that is out is given up, which makes most targets drop it. */
  close (reason: string): void {
    if (this.isDone) return
    this.isDone = true
    this.socket.destroy()
    this.reader.drop()
    this.finish({ kind: 'broken', reason })
    this.handleClose()
  }

  // An answer that can't be dealt with is its request's loss, not that of the process with all others.
  private readWithin (read: () => void): void {
    try {
      read()
    } catch (error) {
      this.close(`answer that can't be dealt with: ${(error as Error).message}`)
    }
  }

  // Where the last bytes and a reset arrive together, the runtime reports an ordinary end, and an answer without a
  // length would count as whole though it was broken off. A connection that was reset has no peer any more.
  private handleEnd (): void {
    const wasReset = this.socket.remoteAddress === undefined
    if (!wasReset) this.reader.finishStream()
    this.close(wasReset ? 'reset by the target' : 'ended by the target')
  }

  private handleAnswer (answer: { head: TargetAnswerHead, body: Buffer }): void {
    // A target may send an answer twice, the second one late: taken for the next request's answer it
    // would hand one caller another's data. The id that it echoes tells whose it is.
    if (this.pending === undefined || answer.head.requestId !== this.pending.requestId) return
    const idleMs = answer.head.keepAliveMs === undefined ? UNSTATED_IDLE_MS : answer.head.keepAliveMs - IDLE_MARGIN_MS
    this.unusableAt = this.parts.getNow() + idleMs
    this.finish({ kind: 'answered', ...answer })
    if (answer.head.isLast) this.close('last answer')
    else if (this.closeReason !== undefined) this.close(this.closeReason)
  }

  private finish (result: AttemptResult): void {
    const { pending } = this
    this.pending = undefined
    this.isTaken = false
    pending?.finish(result)
  }
}
