import type { TargetConnection } from '../../connection/targetConnection.js'
import type { TargetCodec } from '../../connection/targetCodec.js'
import type { TargetPool } from '../../connection/targetPool.js'
import type { AttemptResult } from '../../request/attemptResult.js'
import type { CallerRequest } from '../../request/callerRequest.js'
import type { TargetChoice } from '../../request/targetChoice.js'

/** Milliseconds for opening a connection, on top of two round trips; a target that takes longer is considered unreachable. */
const CONNECT_TIMEOUT_MS = 300

interface AttemptParts {
  codec: TargetCodec
  getNow: () => number
  /** Whether the caller's key still belongs to its organisation. */
  isIdentified: () => boolean
  /** Whether too many targets have meanwhile exited while running the request for it to be sent again. */
  isQuarantined: () => boolean
  /** Claims the send; false if the target has reached its request limit or asked for a pause. */
  claimSend: (now: number) => boolean
}

/** One send of a request to one target. */
export class Attempt {
  /** Monotonic milliseconds at which the first byte was sent; undefined before. */
  sentAt: number | undefined
  private connection: TargetConnection | undefined
  private cancelled: string | undefined
  private isEnded = false

  constructor (readonly request: CallerRequest, readonly choice: TargetChoice, private readonly parts: AttemptParts) {}

  get isCancelled (): boolean {
    return this.cancelled !== undefined
  }

  /** Connects to the target, sends the request and waits for the answer. */
  async run (pool: TargetPool): Promise<AttemptResult> {
    const { target } = this.choice
    target.inFlight += 1
    try {
      return await this.exchange(pool)
    } catch (error) {
      const reason = `failed in this host: ${(error as Error).message}`
      return this.sentAt === undefined ? { kind: 'not-sent', reason } : { kind: 'broken', reason }
    } finally {
      this.isEnded = true
      target.inFlight -= 1
    }
  }

  /** Cancels the attempt by closing its connection, which makes most targets drop the request. */
  cancel (reason: string): void {
    if (this.isEnded) return
    this.cancelled ??= reason
    this.connection?.close(reason)
  }

  private async exchange (pool: TargetPool): Promise<AttemptResult> {
    const { target, roundTripMs: tripMs } = this.choice
    const opened = await pool.acquire(target.entry, CONNECT_TIMEOUT_MS + 2 * tripMs)
    if (opened.kind === 'failed') {
      if (this.cancelled === undefined) target.suspend(this.parts.getNow())
      return { kind: 'not-sent', reason: this.cancelled ?? opened.failure }
    }
    const { connection } = opened
    const now = this.parts.getNow()
    const stopReason = this.findStopReason(now) ?? this.claimSend(now)
    if (stopReason !== undefined) {
      connection.release()
      return { kind: 'not-sent', reason: stopReason }
    }
    this.connection = connection
    this.sentAt = now
    return connection.exchange(this.request, this.parts.codec.encodeHead(this.request, target.entry.id, Math.floor(this.request.deadline - now)))
  }

  /** Claims the send at the target; returns the reason why the target takes none. */
  private claimSend (now: number): string | undefined {
    return this.parts.claimSend(now) ? undefined : 'the target has reached its request limit or asked for a pause'
  }

  // While a connection was being opened, the target may have announced that it is leaving, or the deadline may have passed.
  private findStopReason (now: number): string | undefined {
    if (this.cancelled !== undefined) return this.cancelled
    if (!this.parts.isIdentified()) return 'the key was taken away before the request was sent'
    if (this.parts.isQuarantined()) return 'quarantined before the request was sent'
    if (this.choice.target.isLeaving()) return 'target left before the request was sent'
    return now >= this.request.deadline ? 'no time left before the request was sent' : undefined
  }
}
