import { CarrierService } from 'almondrelay-protocol'
import { Agent } from 'node:http'
import type { MessageMemory } from '../../connection/messageMemory.js'
import { CarrierSilence } from '../../request/carrierSilence.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { RoundTripTimes } from '../forward/roundTripTimes.js'
import type { EventLog } from '../observe/eventLog.js'
import type { PeerView } from '../peers/peerView.js'
import { describeMethod } from './describeMethod.js'
import { PeerCallFailure } from './peerCallFailure.js'
import type { PeerReply } from './peerReply.js'
import { sendPeerCall } from './sendPeerCall.js'

/** Minimum milliseconds within which another host must acknowledge a call, on top of three round trips, one of them for the connection. */
const ACKNOWLEDGE_TIMEOUT_MS = 100
/**
 * Milliseconds for which a probe waits. It is long because the kernel of a stopped host keeps the probe: the host acknowledges it at once
 * when it resumes.
 */
const PROBE_TIMEOUT_MS = 2_000
/** Maximum probes at the same time, 4 KB/s at most. A host that isn't probed is tried with an attempt after its silence has lapsed. */
const MAX_PROBES = 16
const NO_MESSAGE = new Uint8Array(1)

interface CallerParts {
  view: PeerView
  memory: MessageMemory
  roundTripTimes: RoundTripTimes
  /** Called when a host has become silent, for requests that wait for answers by way of it. */
  handleSilence: () => void
  log: EventLog
  getNow: () => number
}

interface PeerMessage {
  method: typeof CarrierService.method.carry | typeof CarrierService.method.checkTarget
  body: Uint8Array
  /** Whether no other host is left to call. */
  isLast: boolean
  /** Called before the message is written; returns a reason not to write it. */
  handleSend: () => string | undefined
}

/** Calls other hosts, and keeps track of those that don't acknowledge calls. */
export class PeerCaller {
  private readonly agent = new Agent({ keepAlive: true, scheduling: 'lifo', noDelay: true })
  private readonly silence = new CarrierSilence()
  private readonly probed = new Set<string>()

  constructor (private readonly parts: CallerParts) {}

  /** Whether a host doesn't acknowledge calls. */
  isSilent (host: string, now: number): boolean {
    return this.silence.isSilent(host, now)
  }

  call (host: HostEntry, message: PeerMessage, signal: AbortSignal): Promise<PeerReply> {
    const minMs = ACKNOWLEDGE_TIMEOUT_MS + 3 * this.parts.roundTripTimes.find(host.region)
    return this.exchange(host, message, this.silence.computeTimeout(host.name, minMs, message.isLast), signal)
  }

  close (): void {
    this.agent.destroy()
  }

  private async exchange (host: HostEntry, { method, body, handleSend }: Omit<PeerMessage, 'isLast'>, acknowledgeTimeoutMs: number, signal: AbortSignal): Promise<PeerReply> {
    const { memory, getNow } = this.parts
    const calledAt = getNow()
    let isAcknowledged = false
    const handleAcknowledgement = (): string | undefined => {
      isAcknowledged = true
      this.observeAcknowledgement(host, calledAt)
      return handleSend()
    }
    const reply = await sendPeerCall(this.agent, { ip: host.ip, port: host.peerPort, path: describeMethod(method), body, acknowledgeTimeoutMs, handleAcknowledgement, memory }, signal)
    if (reply.kind === 'failed' && !isAcknowledged && !signal.aborted) this.observeFailure(host, reply.failure, calledAt)
    return reply
  }

  private observeAcknowledgement ({ name }: HostEntry, calledAt: number): void {
    const now = this.parts.getNow()
    if (this.silence.observeAcknowledgement(name, calledAt, now)) this.parts.log.report('host acknowledges calls again', { host: name })
  }

  private observeFailure (host: HostEntry, failure: PeerCallFailure, calledAt: number): void {
    if (failure !== PeerCallFailure.unacknowledged) {
      this.silence.drop(host.name)
      return
    }
    const now = this.parts.getNow()
    if (!this.silence.observeUnacknowledged(host.name, calledAt, now)) return
    this.parts.log.report('host acknowledges no calls', { host: host.name, waitedMs: Math.round(now - calledAt) })
    this.parts.handleSilence()
    void this.probeSilent(host)
  }

  /** Probes a host until it acknowledges, refuses, or counts as live no more. */
  private async probeSilent (host: HostEntry): Promise<void> {
    const { view, getNow } = this.parts
    if (this.probed.has(host.name) || this.probed.size >= MAX_PROBES) return
    this.probed.add(host.name)
    while (this.silence.isSilent(host.name, getNow()) && view.listLive(getNow()).some(({ name, incarnation }) => name === host.name && incarnation === host.incarnation)) {
      await this.exchange(host, { method: CarrierService.method.checkTarget, body: NO_MESSAGE, handleSend: () => 'only a probe' }, PROBE_TIMEOUT_MS, new AbortController().signal)
    }
    this.probed.delete(host.name)
  }
}
