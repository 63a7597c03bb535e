import { create } from '@bufbuild/protobuf'
import { LeavingTargetSchema, SenderSchema } from 'almondrelay-protocol'
import type { ExchangeRequest, ExchangeResponse, LeavingTarget, Sender } from 'almondrelay-protocol'
import { HeartbeatVerdict } from '../../process/membership/heartbeatVerdict.js'
import type { HeartbeatSender } from '../../process/membership/heartbeatSender.js'
import type { Neighbour } from '../../process/membership/neighbour.js'
import type { Summary } from '../../process/membership/summary.js'
import { computeRefreshLength } from './computeRefreshLength.js'
import { computeRefreshMs } from './computeRefreshMs.js'
import { decodeSender } from './decodeSender.js'
import { decodeSummary } from './decodeSummary.js'
import { encodeSummary } from './encodeSummary.js'
import type { ExchangeOptions } from './exchangeOptions.js'
import { makeRefusal } from './makeRefusal.js'
import type { OutgoingMessage } from './outgoingMessage.js'
import { PeerRefusal } from './peerRefusal.js'
import type { PeerProgress } from './peerProgress.js'
import { PROTOCOL_VERSION } from '../../process/dispatch/protocolVersion.js'
import { RefreshRotation } from './refreshRotation.js'

/** Maximum number of updates in one message: at about 90 bytes each, under 750 bytes. */
const MAX_UPDATES_PER_MESSAGE = 8
/** Maximum number of summaries, and of leaving targets, in a received message. */
const MAX_RECEIVED_ENTRIES = 256
/** Time for which the progress of a peer that sends no messages is kept, so that it needn't be sent everything again when it is back. */
const PEER_RETENTION_MS = 600_000
/** Time for which a host that sent a newer revision stays a temporary neighbour, so that its changes can be fetched. */
const TEMPORARY_NEIGHBOUR_MS = 2_000
/** A repair blocks repairs from other peers for at most this long, as its peer may be paused. */
const EXCLUSIVE_REPAIR_MS = 500

const refusals: Record<Exclude<HeartbeatVerdict, 'accepted'>, PeerRefusal> = {
  [HeartbeatVerdict.staleIncarnation]: PeerRefusal.staleIncarnation,
  [HeartbeatVerdict.nameTaken]: PeerRefusal.nameTaken,
  [HeartbeatVerdict.declaredGone]: PeerRefusal.declaredGone
}

/**
 * Builds the messages to each peer and processes those received from it. A message contains the updates that the peer
 * doesn't have yet and, every second or two, this host's own summary and up to five others in rotation. Its length
 * therefore depends on the number of changes and not on the number of hosts.
 */
export class ExchangeHub {
  private readonly peers = new Map<string, PeerProgress>()
  private readonly wakers = new Map<string, () => void>()
  private repairStartedAt = -Infinity
  private peerCount = 0

  constructor (readonly options: ExchangeOptions, signal: AbortSignal) {
    const { membership, store } = options
    const unsubscribe = membership.subscribe((event) => { if (event.kind === 'news') this.wakeExchanges() })
    signal.addEventListener('abort', unsubscribe, { once: true })
    membership.updateSelf({ revision: store.current.revision })
    store.subscribe((configuration) => {
      membership.updateSelf({ revision: configuration.revision })
      this.wakeExchanges()
    }, signal)
  }

  getProgress (host: string): PeerProgress {
    const known = this.peers.get(host)
    if (known !== undefined) return known
    const progress = this.makeProgress(0)
    this.peers.set(host, progress)
    return progress
  }

  /** Sets the number of neighbours, which determines the interval and length of refreshes. */
  setPeerCount (count: number): void {
    this.peerCount = count
  }

  prunePeers (now: number): void {
    for (const [host, progress] of this.peers) {
      if (progress.incarnation > 0 && now - progress.lastContactAt > PEER_RETENTION_MS) this.peers.delete(host)
    }
  }

  /** Lists the hosts that recently sent a newer revision than the one in this store, whether or not they are planned neighbours. */
  listTemporaryNeighbours (now: number): Neighbour[] {
    const { membership, store, heartbeatMs } = this.options
    return [...this.peers]
      .filter(([, progress]) => progress.revision > store.current.revision && now - progress.lastContactAt < TEMPORARY_NEIGHBOUR_MS)
      .map(([host]) => ({ host, peerAddress: membership.getMember(host, now)?.peerAddress ?? '', intervalMs: heartbeatMs }))
      .filter((neighbour) => neighbour.peerAddress !== '')
  }

  /** Whether to fetch changes from a peer now: it has newer ones, its last fetch did not fail recently, and no other fetch is in progress. */
  isRepairAllowed (host: string, now: number): boolean {
    const progress = this.getProgress(host)
    return progress.revision > this.options.store.current.revision && now >= progress.repairBlockedUntil && now - this.repairStartedAt > EXCLUSIVE_REPAIR_MS
  }

  beginRepair (now: number): void {
    this.repairStartedAt = now
  }

  finishRepair (): void {
    this.repairStartedAt = -Infinity
    this.wakeExchanges()
  }

  /** Calls `wake` whenever there may be something to send to the peer or to fetch from it, until the returned function is called. */
  registerWaker (host: string, wake: () => void): () => void {
    this.wakers.set(host, wake)
    return () => { if (this.wakers.get(host) === wake) this.wakers.delete(host) }
  }

  wakeExchanges (): void {
    for (const wake of [...this.wakers.values()]) wake()
  }

  /** Whether to send updates to the peer before its next heartbeat is due. A long queue of updates is sent with the regular heartbeats. */
  hasUpdates (host: string): boolean {
    const progress = this.getProgress(host)
    const { membership, leavingTargets, store } = this.options
    if (store.isReady && store.current.revision > Math.max(progress.sentRevision, progress.revision)) return true
    const unconfirmedUpdates = membership.changeTracker.latest - progress.confirmed
    return (unconfirmedUpdates > 0 && unconfirmedUpdates <= MAX_UPDATES_PER_MESSAGE) || leavingTargets.changeTracker.latest > progress.confirmedTargets
  }

  makeSender (): Sender {
    const { host, incarnation, availabilityZone, region } = this.options.self
    return create(SenderSchema, { host, incarnation: BigInt(incarnation), availabilityZone, region, protocolVersion: PROTOCOL_VERSION })
  }

  buildMessage (peer: string, now: number): OutgoingMessage {
    const { membership, leavingTargets, store, self } = this.options
    const progress = this.getProgress(peer)
    const updates = membership.changeTracker.listAfter(progress.confirmed, MAX_UPDATES_PER_MESSAGE)
    const targetUpdates = leavingTargets.changeTracker.listAfter(progress.confirmedTargets, MAX_UPDATES_PER_MESSAGE)
    const backlogHosts = progress.backlog.slice(-Math.max(1, MAX_UPDATES_PER_MESSAGE - updates.keys.length))
    const names = new Set([...updates.keys, ...backlogHosts])
    if (progress.isBroken) names.add(self.host)
    if (now - progress.refreshedAt >= computeRefreshMs(this.peerCount)) {
      progress.refreshedAt = now
      for (const name of [self.host, ...progress.rotation.takeNext(peer, computeRefreshLength(this.peerCount))]) names.add(name)
    }
    names.delete(peer)
    const hosts = [...names].map((name) => membership.getSummary(name, now)).filter((summary): summary is Summary => summary !== undefined)
    const targets = targetUpdates.keys.map((key) => leavingTargets.getReport(key, now)).filter((each) => each !== undefined)
    return {
      message: {
        sender: this.makeSender(),
        revision: BigInt(store.isReady ? store.current.revision : 0),
        hosts: hosts.map(encodeSummary),
        leavingTargets: targets.map(({ service, target, isLeaving, ageMs }) => create(LeavingTargetSchema, { service, target, leaving: isLeaving, ageMs }))
      },
      revision: store.isReady ? store.current.revision : 0,
      upTo: updates.upTo,
      backlogLeft: progress.backlog.length - backlogHosts.length,
      upToTargets: targetUpdates.upTo
    }
  }

  /**
   * Validates the whole message before applying any of it; throws a refusal if it is invalid. `confirm` records which
   * updates the peer is known to have according to this message.
   */
  receiveMessage (message: ExchangeRequest | ExchangeResponse, now: number, confirm: (progress: PeerProgress, ownSummary: Summary | undefined) => void): HeartbeatSender {
    const { membership, leavingTargets } = this.options
    const sender = decodeSender(message.sender, message.revision)
    if (message.hosts.length > MAX_RECEIVED_ENTRIES || message.leavingTargets.length > MAX_RECEIVED_ENTRIES) throw makeRefusal(PeerRefusal.malformed, `the message brings more than ${MAX_RECEIVED_ENTRIES} summaries`)
    const summaries = message.hosts.map(decodeSummary)
    const ownSummary = summaries.find((summary) => summary.host === sender.host && summary.incarnation === sender.incarnation)
    const previousUpdates = { news: membership.changeTracker.latest, targets: leavingTargets.changeTracker.latest }
    const verdict = membership.observeHeartbeat(sender, ownSummary, now)
    if (verdict !== HeartbeatVerdict.accepted) throw makeRefusal(refusals[verdict], `${sender.host}, incarnation ${sender.incarnation}, is refused`)
    const progress = this.recordContact(sender, now)
    confirm(progress, ownSummary)
    for (const summary of summaries) if (summary.host !== sender.host) membership.observeSummary(summary, now)
    for (const each of message.leavingTargets) this.observeTarget(each, now)
    // Updates received from the peer need not be sent back to it, unless older updates to it are still unconfirmed.
    if (progress.confirmed >= previousUpdates.news) progress.confirmed = membership.changeTracker.latest
    if (progress.confirmedTargets >= previousUpdates.targets) progress.confirmedTargets = leavingTargets.changeTracker.latest
    return sender
  }

  private recordContact (sender: HeartbeatSender, now: number): PeerProgress {
    const known = this.getProgress(sender.host)
    const progress = known.incarnation === sender.incarnation ? known : this.beginProgress(sender)
    this.peers.set(sender.host, progress)
    progress.lastContactAt = now
    progress.revision = sender.revision
    return progress
  }

  /**
   * A new peer is sent new updates as they occur, and the hosts known before as far as messages have room, those of its own
   * zone first. In a single queue, new updates would wait behind thousands of hosts.
   */
  private beginProgress (peer: HeartbeatSender): PeerProgress {
    const hosts = this.options.membership.listHosts()
    const [ownZoneHosts, otherHosts] = [true, false].map((isOwn) => hosts.filter((each) => (each.availabilityZone === peer.availabilityZone) === isOwn).map((each) => each.host))
    return { ...this.makeProgress(peer.incarnation), confirmed: this.options.membership.changeTracker.latest, backlog: [...otherHosts ?? [], ...ownZoneHosts ?? []] }
  }

  private observeTarget (leavingTarget: LeavingTarget, now: number): void {
    const { leavingTargets } = this.options
    if (leavingTargets.observe({ service: leavingTarget.service, target: leavingTarget.target, isLeaving: leavingTarget.leaving, ageMs: leavingTarget.ageMs }, now)) this.wakeExchanges()
  }

  private makeProgress (incarnation: number): PeerProgress {
    const { membership, self } = this.options
    return {
      incarnation,
      confirmed: 0,
      backlog: [],
      offeredBacklogLeft: Infinity,
      confirmedTargets: 0,
      offered: 0,
      offeredTargets: 0,
      lastContactAt: -Infinity,
      refreshedAt: -Infinity,
      rotation: new RefreshRotation(membership, self.availabilityZone),
      isBroken: true,
      revision: 0,
      sentRevision: 0,
      repairBlockedUntil: -Infinity
    }
  }
}
