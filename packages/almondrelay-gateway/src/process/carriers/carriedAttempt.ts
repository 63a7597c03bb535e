import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { CarryResponseSchema, type CarryRequest, type CarryResponse } from 'almondrelay-protocol'
import { computeConnectTimeout } from '../../connection/computeConnectTimeout.js'
import type { TargetConnection } from '../../connection/targetConnection.js'
import type { AttemptResult } from '../../request/attemptResult.js'
import type { TargetRequest } from '../../request/targetRequest.js'
import type { TargetState } from '../../request/targetState.js'
import type { CarriedParts } from './carriedParts.js'

type Result = MessageInitShape<typeof CarryResponseSchema>['result']

/** One send of another host's request to one target, over a connection of this host. */
export class CarriedAttempt {
  private readonly deadline: number
  private readonly targetRequest: TargetRequest
  private connection: TargetConnection | undefined
  private isCancelled = false

  constructor (private readonly message: CarryRequest, private readonly target: TargetState, private readonly parts: CarriedParts) {
    const { requestId, method, url, headers, body, remainingMs } = message
    this.deadline = parts.getNow() + remainingMs
    this.targetRequest = { id: requestId, method, url, rawHeaders: headers, body: Buffer.from(body.buffer, body.byteOffset, body.byteLength), identity: { kind: 'unchecked' } }
  }

  /** Connects to the target, sends the request and waits for the answer. */
  async run (): Promise<CarryResponse> {
    return create(CarryResponseSchema, { result: await this.send() })
  }

  /** Gives up the attempt, as the host that sent it has done. */
  cancel (): void {
    this.isCancelled = true
    this.connection?.close('the host that sent the attempt gave it up')
  }

  private async send (): Promise<Result> {
    const { pools, links, roundTripTimes, codec, getNow } = this.parts
    const { target } = this
    if (links.isLost(target)) return refuseLost('the link to the target is lost here too')
    const refusal = this.findRefusal(getNow())
    if (refusal !== undefined) return refuse(refusal)
    const opened = await pools.get(target).acquire(target.entry, computeConnectTimeout(roundTripTimes.find(target.entry.region)), this.targetRequest.id)
    if (opened.kind === 'failed') return await links.verifyLoss(target) ? refuseLost(opened.failure) : refuse(opened.failure)
    const { connection } = opened
    const sentAt = getNow()
    const lateRefusal = this.findRefusal(sentAt)
    if (lateRefusal !== undefined) {
      connection.release()
      return refuse(lateRefusal)
    }
    this.connection = connection
    const finishWaiting = links.addSend(target, sentAt)
    const result = await connection.exchange(this.targetRequest, codec.encodeHead(this.targetRequest, target.entry.id, Math.floor(this.deadline - sentAt)))
    // Another request may have taken the connection by the time at which the call's answer is read, or given up.
    this.connection = undefined
    finishWaiting()
    this.observeResult(result, sentAt)
    return encodeResult(result)
  }

  private findRefusal (now: number): string | undefined {
    const { quarantine, announcements, isClosed } = this.parts
    if (this.isCancelled) return 'given up before the request was sent'
    if (now >= this.deadline) return 'no time left before the request was sent'
    if (this.target.isLeaving() || isClosed(this.target)) return 'the target takes no new requests'
    if (announcements.pauses.computeWait(this.target, now) > 0) return 'the target asked for a pause'
    return !this.message.trial && quarantine.isHeldBack(this.message.fingerprint) ? 'quarantined' : undefined
  }

  private observeResult (result: AttemptResult, sentAt: number): void {
    const { announcements, links, prober, quarantine, getNow } = this.parts
    const { target, message: { fingerprint, organisation } } = this
    const now = getNow()
    if (result.kind === 'answered') {
      links.observeAnswer(target, now)
      announcements.observeAnswer(target, result.head, sentAt, now)
    } else if (result.kind === 'broken' && !this.isCancelled) {
      quarantine.observeUnanswered(target, { fingerprint, organisation }, now)
      void prober.probe(target)
    }
  }
}

const refuse = (reason: string): Result => ({ case: 'notSent', value: { reason } })

const refuseLost = (reason: string): Result => ({ case: 'notSent', value: { reason, tryElsewhere: true, linkLost: true } })

const encodeResult = (result: AttemptResult): Result => {
  if (result.kind === 'not-sent') return refuse(result.reason)
  if (result.kind === 'broken') return { case: 'broken', value: result.reason }
  const { status, rawHeaders, closesConnection } = result.head
  return { case: 'answered', value: { status, headers: [...rawHeaders], body: result.body, keepsAlive: !closesConnection } }
}
