import { computeConnectTimeout } from '../../connection/computeConnectTimeout.js'
import type { TargetConnection } from '../../connection/targetConnection.js'
import type { TargetCodec } from '../../connection/targetCodec.js'
import type { TargetPool } from '../../connection/targetPool.js'
import type { AttemptResult } from '../../request/attemptResult.js'
import type { CallerRequest } from '../../request/callerRequest.js'
import type { TargetChoice } from '../../request/targetChoice.js'
import type { CarrierClient } from '../carriers/carrierClient.js'
import type { LinkMonitor } from '../links/linkMonitor.js'
import type { SuspectId } from '../quarantine/suspectId.js'

interface AttemptParts {
  codec: TargetCodec
  links: Pick<LinkMonitor, 'isLost' | 'verifyLoss' | 'addSend'>
  carriers: Pick<CarrierClient, 'carry' | 'isSilent'>
  getNow: () => number
  /** Whether the caller's key still belongs to its organisation. */
  isIdentified: () => boolean
  /** Names the request for the host that carries it, and says whether this sending of it was granted although it is quarantined. */
  describeSuspect: () => { suspectId: SuspectId, isTrial: boolean }
  /** Whether too many targets have meanwhile exited while running the request for it to be sent again. */
  isQuarantined: () => boolean
  /** Claims the send; false if the target has reached its request limit or asked for a pause. */
  claimSend: (now: number) => boolean
}

/** One send of a request to one target. */
export class Attempt {
  /** Monotonic milliseconds at which the first byte was sent; undefined before. */
  sentAt: number | undefined
  /** Name of the host by way of which the request was sent; undefined if it was sent directly. */
  carrier: string | undefined
  /** Whether an answer was lost between this host and the one that carried the request, which says nothing about the target. */
  isCarrierFault = false
  /** Aborts the calls to other hosts; created where the attempt goes by way of them, which few attempts do. */
  private abortController: AbortController | undefined
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
    this.abortController?.abort()
    this.connection?.close(reason)
  }

  /** Whether the request waits for an answer over a link that has been lost since, or by way of a host that has become silent. */
  get isCutOff (): boolean {
    const { links, carriers, getNow } = this.parts
    if (this.sentAt === undefined) return false
    return this.carrier === undefined ? links.isLost(this.choice.target) : carriers.isSilent(this.carrier, getNow())
  }

  private async exchange (pool: TargetPool): Promise<AttemptResult> {
    const { target, roundTripMs } = this.choice
    const { links } = this.parts
    if (links.isLost(target)) return this.exchangeIndirectly()
    const opened = await pool.acquire(target.entry, computeConnectTimeout(roundTripMs), this.request.id)
    if (opened.kind === 'failed') {
      if (this.cancelled === undefined && await links.verifyLoss(target)) return this.exchangeIndirectly()
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
    const finishWaiting = links.addSend(target, now)
    const result = await connection.exchange(this.request, this.parts.codec.encodeHead(this.request, target.entry.id, Math.floor(this.request.deadline - now)))
    finishWaiting()
    return result
  }

  private async exchangeIndirectly (): Promise<AttemptResult> {
    const { request, choice: { target }, parts } = this
    let isClaimed = false
    const abortController = new AbortController()
    this.abortController = abortController
    if (this.cancelled !== undefined) abortController.abort()
    const outcome = await parts.carriers.carry({
      request,
      target,
      allowedRegions: request.allowedRegions,
      deadline: request.deadline,
      ...parts.describeSuspect(),
      findStopReason: (now) => {
        const stopReason = this.findStopReason(now)
        if (stopReason !== undefined || isClaimed) return stopReason
        isClaimed = true
        return this.claimSend(now)
      },
      handleSend: (now, carrier) => {
        this.sentAt ??= now
        this.carrier = carrier
      }
    }, abortController.signal)
    this.carrier = outcome.carrier
    this.isCarrierFault = outcome.isCarrierFault
    return outcome.result
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
