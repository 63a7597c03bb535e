import { create, toBinary } from '@bufbuild/protobuf'
import { CarrierService, CarryRequestSchema, CarryResponseSchema, CheckTargetRequestSchema, CheckTargetResponseSchema, type CarryResponse, type CheckTargetResponse } from 'almondrelay-protocol'
import { HeldBytes } from '../../connection/heldBytes.js'
import type { MessageMemory } from '../../connection/messageMemory.js'
import type { TargetCodec } from '../../connection/targetCodec.js'
import { isAnswerTo } from '../../request/isAnswerTo.js'
import type { TargetEntry } from '../../request/targetEntry.js'
import type { TargetRequest } from '../../request/targetRequest.js'
import type { TargetState } from '../../request/targetState.js'
import { computeHash } from '../../version/computeHash.js'
import { isAllowedRegion } from '../../version/isAllowedRegion.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { RoundTripTimes } from '../forward/roundTripTimes.js'
import { PeerReach } from '../links/peerReach.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'
import type { PeerView } from '../peers/peerView.js'
import type { SuspectId } from '../quarantine/suspectId.js'
import { askInRounds } from './askInRounds.js'
import { CarrierMemory } from './carrierMemory.js'
import type { CarryOutcome } from './carryOutcome.js'
import { chooseCarrier } from './chooseCarrier.js'
import { decodeMessage } from './decodeMessage.js'
import { describeDistance } from './describeDistance.js'
import { PeerCaller } from './peerCaller.js'
import { PeerCallFailure } from './peerCallFailure.js'
import type { PeerReply } from './peerReply.js'

/** Milliseconds within which a host must say whether it reaches a target, on top of its round trips: it may have to connect first. */
const CHECK_TIMEOUT_MS = 400
/** Maximum hosts that are asked to carry one attempt. */
const MAX_CARRIERS = 4

interface ClientParts {
  own: HostEntry
  view: PeerView
  codec: TargetCodec
  /** Memory for answers. */
  memory: MessageMemory
  /** Memory for bodies of requests. */
  bodies: MessageMemory
  roundTripTimes: RoundTripTimes
  metrics: GatewayMetrics
  log: EventLog
  /** Called when a host doesn't acknowledge calls any more, for requests that wait for answers by way of it. */
  handleSilence: () => void
  getNow: () => number
  random: () => number
}

/** An attempt to be sent to a target by way of another host. */
interface IndirectAttempt {
  request: TargetRequest
  target: TargetState
  /** Regions through which the request may pass; empty where all regions are allowed. */
  allowedRegions: readonly string[]
  /** Monotonic milliseconds. */
  deadline: number
  suspectId: SuspectId
  /** Whether the store has granted this sending of a quarantined request. */
  isTrial: boolean
  /** Returns why the attempt must not be sent any more; undefined while it may. Called immediately before each send. */
  findStopReason: (now: number) => string | undefined
  /** Called when the attempt is written to another host, with that host's name. */
  handleSend: (now: number, carrier: string) => void
}

/** Calls other hosts that may reach targets which this host doesn't. */
export class CarrierClient {
  private readonly carried = new Map<string, number>()
  private readonly memory = new CarrierMemory()
  private readonly caller: PeerCaller

  constructor (private readonly parts: ClientParts) {
    this.caller = new PeerCaller(parts)
  }

  /** Whether a host doesn't acknowledge calls, so that answers by way of it may not come. */
  isSilent (host: string, now: number): boolean {
    return this.caller.isSilent(host, now)
  }

  /** Whether there is a host that may carry a request to a target. */
  hasCarrier ({ entry }: TargetState, allowedRegions: readonly string[], now: number): boolean {
    const { own, view } = this.parts
    return view.listLive(now).some((host) => host.name !== own.name && isAllowedRegion(host.region, allowedRegions) && this.isUsable(host, entry, now))
  }

  /** Sends an attempt to a target by way of another host; of several, one after the other, as long as nothing was sent to the target. */
  async carry (attempt: IndirectAttempt, signal: AbortSignal): Promise<CarryOutcome> {
    const asked = new Set<string>()
    let reason = 'no other host may reach the target'
    let carrier: string | undefined
    while (asked.size < MAX_CARRIERS) {
      const now = this.parts.getNow()
      const stopReason = attempt.findStopReason(now)
      if (stopReason !== undefined) return { result: { kind: 'not-sent', reason: stopReason }, carrier, isCarrierFault: false }
      const host = this.chooseHost(attempt.target, attempt.allowedRegions, asked, now)
      if (host === undefined) break
      asked.add(host.name)
      carrier = host.name
      const isLast = asked.size === MAX_CARRIERS || this.chooseHost(attempt.target, attempt.allowedRegions, asked, now) === undefined
      const outcome = await this.carryThrough(host, attempt, isLast, signal)
      if (typeof outcome !== 'string') return outcome
      reason = `${host.name} could not carry it: ${outcome}`
    }
    return { result: { kind: 'not-sent', reason }, carrier, isCarrierFault: false }
  }

  /** Asks other hosts whether they reach a target. */
  askPeers (target: TargetState): Promise<PeerReach> {
    return askInRounds(this.listHostsToAsk(target), (host) => this.checkTarget(host, target))
  }

  close (): void {
    this.caller.close()
  }

  /** Sends an attempt by way of one host. Returns the outcome, or the reason why the host can't send it. */
  private async carryThrough (host: HostEntry, attempt: IndirectAttempt, isLast: boolean, signal: AbortSignal): Promise<CarryOutcome | string> {
    const { metrics, getNow, bodies } = this.parts
    const held = new HeldBytes(bodies)
    if (!held.hold(attempt.request.body.byteLength)) {
      held.release()
      return 'this host has no room for a copy of the request'
    }
    const body = this.encodeAttempt(attempt, getNow())
    this.carried.set(host.name, this.countCarried(host) + 1)
    let stopReason: string | undefined
    const handleSend = (): string | undefined => {
      const now = getNow()
      stopReason = attempt.findStopReason(now)
      if (stopReason === undefined) attempt.handleSend(now, host.name)
      return stopReason
    }
    const reply = await this.caller.call(host, { method: CarrierService.method.carry, body, isLast, handleSend }, signal).finally(() => {
      held.release()
      this.carried.set(host.name, this.countCarried(host) - 1)
    })
    const distance = describeDistance(this.parts.own, host)
    metrics.countIndirectBytes('sent', distance, body.byteLength + (reply.kind === 'answered' ? reply.body.byteLength : 0))
    metrics.countIndirectAttempt('sent', reply.kind === 'answered' ? 'answered' : reply.failure)
    if (reply.kind === 'failed') {
      if (reply.failure === PeerCallFailure.answerLost) return { result: { kind: 'broken', reason: `${host.name} gave no answer: ${reply.reason}` }, carrier: host.name, isCarrierFault: true }
      if (!signal.aborted && stopReason === undefined && reply.failure !== PeerCallFailure.unacknowledged) this.memory.observeNoRoom(host.name, getNow())
      return reply.reason
    }
    const response = decodeMessage(CarryResponseSchema, reply.body)
    if (response === undefined) return rejectReply(reply, host, 'can\'t be read')
    if (response.result.case === 'notSent' && response.result.value.tryElsewhere) {
      if (response.result.value.linkLost) this.memory.observeNotReached(host.name, attempt.target.entry.id, getNow())
      else this.memory.observeNoRoom(host.name, getNow())
      return response.result.value.reason
    }
    const result = this.decodeResult(response.result)
    if (result.kind === 'answered' && !isAnswerTo(result.head, attempt.request.id)) return rejectReply(reply, host, 'doesn\'t name the request')
    return { result, carrier: host.name, isCarrierFault: false }
  }

  private decodeResult (result: CarryResponse['result']): CarryOutcome['result'] {
    if (result.case === 'notSent') return { kind: 'not-sent', reason: result.value.reason }
    if (result.case !== 'answered') return { kind: 'broken', reason: result.case === 'broken' ? result.value : 'no result' }
    const { status, headers, body, keepsAlive } = result.value
    return { kind: 'answered', head: this.parts.codec.decodeAnswerHead(status, headers, keepsAlive), body: Buffer.from(body) }
  }

  private encodeAttempt ({ request, target, deadline, suspectId, isTrial }: IndirectAttempt, now: number): Uint8Array {
    return toBinary(CarryRequestSchema, create(CarryRequestSchema, {
      host: this.parts.own.name,
      target: target.entry.id,
      targetHash: target.incarnationHash,
      requestId: request.id,
      method: request.method,
      url: request.url,
      headers: this.parts.codec.listForwardedHeaders(request),
      body: request.body,
      remainingMs: Math.max(0, Math.floor(deadline - now)),
      fingerprint: suspectId.fingerprint,
      organisation: suspectId.organisation,
      trial: isTrial
    }))
  }

  private async checkTarget (host: HostEntry, target: TargetState): Promise<PeerReach> {
    const { own, roundTripTimes } = this.parts
    const body = toBinary(CheckTargetRequestSchema, create(CheckTargetRequestSchema, { host: own.name, target: target.entry.id, targetHash: target.incarnationHash }))
    const timeoutMs = CHECK_TIMEOUT_MS + 2 * roundTripTimes.find(host.region) + 2 * roundTripTimes.find(target.entry.region)
    const reply = await this.caller.call(host, { method: CarrierService.method.checkTarget, body, isLast: false, handleSend: () => undefined }, AbortSignal.timeout(Math.ceil(timeoutMs)))
    const answer = reply.kind === 'answered' ? decodeMessage(CheckTargetResponseSchema, reply.body) : undefined
    const reach = describeAnswer(answer)
    if (reach === PeerReach.unreached) this.memory.observeNotReached(host.name, target.entry.id, this.parts.getNow())
    return reach
  }

  private chooseHost ({ entry }: TargetState, allowedRegions: readonly string[], asked: ReadonlySet<string>, now: number): HostEntry | undefined {
    const { own, view, random } = this.parts
    return chooseCarrier(view.listLive(now), {
      own,
      target: entry,
      allowedRegions,
      isUsable: (host) => !asked.has(host.name) && this.isUsable(host, entry, now),
      countCarried: (host) => this.countCarried(host),
      random
    })
  }

  private isUsable ({ name }: HostEntry, { id, availabilityZone }: TargetEntry, now: number): boolean {
    return this.memory.isUsable(name, id, now) && !this.isSilent(name, now) && !this.hasLostZone(name, availabilityZone)
  }

  /** Whether a host has reported that it has lost its links to the targets of an availability zone. */
  private hasLostZone (host: string, availabilityZone: string): boolean {
    return this.parts.view.findLostZones(host).includes(computeHash(availabilityZone))
  }

  private countCarried ({ name }: HostEntry): number {
    return this.carried.get(name) ?? 0
  }

  // Hosts of different availability zones are asked, because a cut often takes all hosts of one.
  private listHostsToAsk ({ entry }: TargetState): HostEntry[] {
    const { own, view, getNow, random } = this.parts
    const now = getNow()
    const rank = ({ availabilityZone, region }: HostEntry): number => {
      if (availabilityZone !== own.availabilityZone && availabilityZone === entry.availabilityZone) return 0
      return region === own.region ? 1 : 2
    }
    const hosts = view.listLive(now).filter(({ name }) => name !== own.name && !this.isSilent(name, now) && !this.hasLostZone(name, entry.availabilityZone))
      .map((host) => ({ host, order: rank(host) + random() }))
      .sort((one, other) => one.order - other.order)
      .map(({ host }) => host)
    const byZone = new Map(hosts.toReversed().map((host) => [host.availabilityZone, host]))
    const firstOfZones = hosts.filter((host) => byZone.get(host.availabilityZone) === host)
    return [...new Set([...firstOfZones, ...hosts])]
  }
}

/** Makes the outcome of an attempt whose answer is not known to be its own: it may have run. */
const rejectReply = (reply: Extract<PeerReply, { kind: 'answered' }>, { name }: HostEntry, fault: string): CarryOutcome => {
  reply.closeConnection()
  return { result: { kind: 'broken', reason: `${name} gave an answer that ${fault}` }, carrier: name, isCarrierFault: true }
}

const describeAnswer = (answer: CheckTargetResponse | undefined): PeerReach => {
  if (answer === undefined || answer.unknown) return PeerReach.none
  return answer.reached ? PeerReach.reached : PeerReach.unreached
}
