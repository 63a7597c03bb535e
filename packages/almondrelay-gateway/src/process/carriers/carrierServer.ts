import { create, toBinary, type MessageShape } from '@bufbuild/protobuf'
import { CarrierService, CarryRequestSchema, CarryResponseSchema, CheckTargetRequestSchema, CheckTargetResponseSchema, type CarryRequest, type CarryResponse, type CheckTargetRequest, type CheckTargetResponse } from 'almondrelay-protocol'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createClientServer, openServer, type ClientGuardParts } from 'almondrelay'
import type { BodyReadResult } from '../../connection/bodyReadResult.js'
import { holdUntilRead } from '../../connection/holdUntilRead.js'
import type { MessageMemory } from '../../connection/messageMemory.js'
import { readBody } from '../../connection/readBody.js'
import type { HostLoad } from '../../request/hostLoad.js'
import type { TargetState } from '../../request/targetState.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'
import type { PeerView } from '../peers/peerView.js'
import { RequestFingerprint } from '../quarantine/requestFingerprint.js'
import { CARRIER_CONTENT_TYPE } from './carrierContentType.js'
import { CarriedAttempt } from './carriedAttempt.js'
import type { CarriedParts } from './carriedParts.js'
import { decodeMessage } from './decodeMessage.js'
import { describeDistance } from './describeDistance.js'
import { describeMethod } from './describeMethod.js'
import { isWellFormedRequest } from './isWellFormedRequest.js'

/** Maximum attempts that this host carries at the same time. */
const MAX_CARRIED = 256
/** Milliseconds for which an idle connection of another host is kept; it closes its end a second before. */
const IDLE_TIMEOUT_MS = 3_000
/** Milliseconds within which a whole call must arrive. */
const CALL_TIMEOUT_MS = 10_000
/** Bytes of a call in addition to the request's head and body. */
const CALL_OVERHEAD_BYTES = 4_096
/** Limits of requests before the first configuration is known. */
const DEFAULT_MAX_BYTES = 1_048_576

interface ServerParts extends CarriedParts {
  guard: ClientGuardParts
  own: HostEntry
  fleet: FleetState
  view: PeerView
  load: HostLoad
  memory: MessageMemory
  /** Memory for bodies of requests. */
  bodies: MessageMemory
  log: EventLog
  metrics: GatewayMetrics
  isLeaving: () => boolean
  logError: (error: Error) => void
}

interface PeerCall {
  message: IncomingMessage
  body: Uint8Array
  /** Aborts when the other host gives up the call. */
  signal: AbortSignal
}

/** Serves the calls of hosts that have lost their links to targets: sends attempts of theirs over this host's connections. */
export class CarrierServer {
  private carried = 0
  private readonly server: Server

  constructor (private readonly parts: ServerParts) {
    this.server = createClientServer(parts.guard, { requestTimeout: CALL_TIMEOUT_MS, noDelay: true }, (message, response) => {
      this.serve(message, response).catch((error: Error) => {
        this.parts.logError(error)
        response.destroy()
      })
    })
    this.server.keepAliveTimeout = IDLE_TIMEOUT_MS
    // The other host takes any status for a refusal, and one that Node writes by itself says nothing of calls that are running.
    this.server.on('clientError', (_, socket) => { socket.destroy() })
  }

  async listen (ip: string, port: number, signal: AbortSignal): Promise<void> {
    await openServer(this.server, `${ip}:${port}`)
    signal.addEventListener('abort', () => {
      this.server.close()
      this.server.closeAllConnections()
    }, { once: true })
  }

  /** Returns the number of attempts that this host carries now. */
  countUnanswered (): number {
    return this.carried
  }

  private async serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const gone = new AbortController()
    response.once('close', () => { gone.abort() })
    const read = await readBody(message, this.computeMaxBytes(), this.parts.bodies)
    if (read.kind === 'cut-short') return
    const answer = read.kind === 'whole' ? await this.answerWhole(message, read, gone.signal) : undefined
    if (answer === undefined) {
      response.writeHead(400).end()
      return
    }
    holdUntilRead(this.parts.memory, response, answer.byteLength)
    response.writeHead(200, { 'Content-Type': CARRIER_CONTENT_TYPE, 'Content-Length': answer.byteLength }).end(answer)
  }

  /** Answers a call whose body was read to its end, and releases the body. */
  private async answerWhole (message: IncomingMessage, { body, held }: Extract<BodyReadResult, { kind: 'whole' }>, signal: AbortSignal): Promise<Uint8Array | undefined> {
    try {
      return message.headers['content-type'] === CARRIER_CONTENT_TYPE ? await this.answer({ message, body, signal }) : undefined
    } finally {
      held.release()
    }
  }

  /** Returns the answer to a call; undefined if it is no call of a host of this deployment. */
  private async answer ({ message, body, signal }: PeerCall): Promise<Uint8Array | undefined> {
    if (message.url === describeMethod(CarrierService.method.carry)) {
      const call = this.decodeCall(CarryRequestSchema, body, message)
      if (call === undefined || !RequestFingerprint.isValid(call.fingerprint) || !isWellFormedRequest(call)) return undefined
      const answer = toBinary(CarryResponseSchema, await this.carry(call, signal))
      this.countBytes(call.host, body.byteLength + answer.byteLength)
      return answer
    }
    if (message.url !== describeMethod(CarrierService.method.checkTarget)) return undefined
    const call = this.decodeCall(CheckTargetRequestSchema, body, message)
    return call === undefined ? undefined : toBinary(CheckTargetResponseSchema, await this.checkTarget(call))
  }

  private decodeCall <Desc extends typeof CarryRequestSchema | typeof CheckTargetRequestSchema>(schema: Desc, body: Uint8Array, { socket }: IncomingMessage): MessageShape<Desc> | undefined {
    const call = decodeMessage(schema, body)
    const host = (call as { host: string } | undefined)?.host
    return host !== undefined && this.parts.view.isFromKnownAddress({ host }, socket.remoteAddress ?? '') ? call : undefined
  }

  private async carry (call: CarryRequest, signal: AbortSignal): Promise<CarryResponse> {
    const { getNow, log, metrics } = this.parts
    const startedAt = getNow()
    const response = await this.carryIfRoom(call, signal)
    const result = response.result.case ?? 'none'
    metrics.countIndirectAttempt('carried', result)
    log.record('attempt carried for another host', { id: call.requestId, from: call.host, target: call.target, result, reason: describeReason(response), ms: Math.round(getNow() - startedAt) })
    return response
  }

  private async carryIfRoom (call: CarryRequest, signal: AbortSignal): Promise<CarryResponse> {
    const target = this.findTarget(call)
    if (target === undefined) return refuseHere('target not known here')
    const refusal = this.findHostRefusal()
    if (refusal !== undefined) return refuseHere(refusal)
    const attempt = new CarriedAttempt(call, target, this.parts)
    signal.addEventListener('abort', () => { attempt.cancel() }, { once: true })
    this.carried += 1
    return attempt.run().finally(() => { this.carried -= 1 })
  }

  // Callers of this host come first: as soon as it has to shed requests of theirs, it carries none.
  private findHostRefusal (): string | undefined {
    const { isLeaving, load, memory } = this.parts
    if (isLeaving()) return 'the host is stopping'
    return load.isShedding || memory.isFilling || this.carried >= MAX_CARRIED ? 'the host has no room for attempts of others' : undefined
  }

  private async checkTarget (call: CheckTargetRequest): Promise<CheckTargetResponse> {
    const { links } = this.parts
    const target = this.findTarget(call)
    if (target === undefined || target.isLeaving()) return create(CheckTargetResponseSchema, { unknown: true })
    return create(CheckTargetResponseSchema, { reached: !links.isLost(target) && await links.probe(target) })
  }

  /** Finds the target of a call by its id and incarnation; its address is the one that this host knows. */
  private findTarget ({ target: id, targetHash }: Pick<CarryRequest, 'target' | 'targetHash'>): TargetState | undefined {
    const target = this.parts.fleet.findTarget(id)
    return target?.incarnationHash === targetHash ? target : undefined
  }

  private computeMaxBytes (): number {
    const limits = this.parts.fleet.configuration?.limits
    return limits === undefined ? DEFAULT_MAX_BYTES : limits.maxBodyBytes + limits.maxHeaderBytes + CALL_OVERHEAD_BYTES
  }

  private countBytes (hostName: string, bytes: number): void {
    const host = this.parts.fleet.findHost(hostName)
    if (host !== undefined) this.parts.metrics.countIndirectBytes('carried', describeDistance(this.parts.own, host), bytes)
  }
}

const refuseHere = (reason: string): CarryResponse => create(CarryResponseSchema, { result: { case: 'notSent', value: { reason, tryElsewhere: true } } })

const describeReason = ({ result }: CarryResponse): string | undefined => {
  if (result.case === 'notSent') return result.value.reason
  return result.case === 'broken' ? result.value : undefined
}
