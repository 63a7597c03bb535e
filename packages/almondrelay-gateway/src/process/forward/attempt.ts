import type { TargetConnection } from '../../connection/targetConnection.js'
import type { TargetCodec } from '../../connection/targetCodec.js'
import type { TargetPool } from '../../connection/targetPool.js'
import type { AttemptResult } from '../../request/attemptResult.js'
import type { CallerRequest } from '../../request/callerRequest.js'
import type { TargetChoice } from '../../request/targetChoice.js'

/** Milliseconds for a connection to stand, besides the trip: a target that doesn't answer by then is taken for unreachable. */
const CONNECT_TIMEOUT_MS = 300

interface AttemptParts {
  codec: TargetCodec
  getNow: () => number
  /** Whether the caller's key is still its organisation's. */
  isIdentified: () => boolean
  /** Whether targets have ended under the request meanwhile, too many for it to be sent. */
  isQuarantined: () => boolean
}

/** One sending of one request to one target. */
export class Attempt {
  /** Monotonic milliseconds at which the first byte went out; undefined before. */
  sentAt: number | undefined
  private connection: TargetConnection | undefined
  private cancelled: string | undefined
  private isEnded = false

  constructor (readonly request: CallerRequest, readonly choice: TargetChoice, private readonly parts: AttemptParts) {}

  get isCancelled (): boolean {
    return this.cancelled !== undefined
  }

  /** Connects, sends and waits for the answer. */
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

  /** Gives the attempt up; what the target works on is dropped with its connection. */
  cancel (reason: string): void {
    if (this.isEnded) return
    this.cancelled ??= reason
    this.connection?.close(reason)
  }

  private async exchange (pool: TargetPool): Promise<AttemptResult> {
    const { target, tripMs } = this.choice
    const opened = await pool.acquire(target.entry, CONNECT_TIMEOUT_MS + 2 * tripMs)
    if (opened.kind === 'failed') {
      if (this.cancelled === undefined) target.suspend(this.parts.getNow())
      return { kind: 'not-sent', reason: this.cancelled ?? opened.failure }
    }
    const { connection } = opened
    const now = this.parts.getNow()
    const stopReason = this.findStopReason(now)
    if (stopReason !== undefined) {
      connection.release()
      return { kind: 'not-sent', reason: stopReason }
    }
    this.connection = connection
    this.sentAt = now
    return connection.exchange(this.request, this.parts.codec.encodeHead(this.request, target.entry.id, Math.floor(this.request.deadline - now)))
  }

  // While a connection was being opened the target may have announced its end, or the caller's time may have run out.
  private findStopReason (now: number): string | undefined {
    if (this.cancelled !== undefined) return this.cancelled
    if (!this.parts.isIdentified()) return 'the key was taken away before the request was sent'
    if (this.parts.isQuarantined()) return 'quarantined before the request was sent'
    if (this.choice.target.isLeaving()) return 'target left before the request was sent'
    return now >= this.request.deadline ? 'no time left before the request was sent' : undefined
  }
}
