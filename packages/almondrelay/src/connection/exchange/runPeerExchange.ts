import type { Client } from '@connectrpc/connect'
import { create } from '@bufbuild/protobuf'
import { ExchangeRequestSchema } from 'almondrelay-protocol'
import type { ExchangeResponse, PeerService } from 'almondrelay-protocol'
import type { Neighbour } from '../../process/membership/neighbour.js'
import type { ExchangeHub } from './exchangeHub.js'
import { findRefusal } from './findRefusal.js'
import { isConnectionRefused } from '../../process/dispatch/isConnectionRefused.js'
import { repairFromPeer } from './repairFromPeer.js'

/** Minimum time between two exchanges with one peer, however many updates there are. */
const MIN_EXCHANGE_INTERVAL_MS = 50
/** Factor by which the host whose name sorts later waits longer, so that one exchange serves both hosts. */
const LATER_NAME_INTERVAL_FACTOR = 1.5
/** Maximum time between two exchanges that this host starts, however often the peer calls; the longer of the two bounds applies. */
const MAX_OWN_INTERVAL_MS = 2_000
const MAX_OWN_INTERVAL_FACTOR = 4
/** Time before changes are fetched again from a peer that did not answer a fetch or could not prove the revision that it stated. */
const REPAIR_RETRY_DELAY_MS = 5_000

/**
 * Exchanges heartbeats with one peer, and fetches the changes that the peer has and this host lacks.
 *
 * Failure: a connection can stop delivering packets for good while new connections work. After a failed exchange the
 * connection is therefore closed, and the next exchange uses a new one.
 */
export async function runPeerExchange (peer: Neighbour, hub: ExchangeHub, signal: AbortSignal): Promise<void> {
  const { clock } = hub.options
  let connection = openConnection(peer, hub)
  const close = () => { connection.close() }
  signal.addEventListener('abort', close, { once: true })
  while (!signal.aborted) {
    const isAnswered = await tryExchange(connection.client, peer, hub, signal)
    const lastAt = clock.getNow()
    if (!isAnswered) {
      connection.close()
      connection = openConnection(peer, hub)
    } else if (hub.isRepairAllowed(peer.host, lastAt)) await tryRepair(connection.client, peer, hub, signal)
    if (!signal.aborted) await waitUntilDue(peer, hub, { at: lastAt, isAnswered }, signal)
  }
  connection.close()
  signal.removeEventListener('abort', close)
}

function openConnection (peer: Neighbour, hub: ExchangeHub): { client: Client<typeof PeerService>, close: () => void } {
  const controller = new AbortController()
  return { client: hub.options.createClient(peer.peerAddress, controller.signal), close: () => { controller.abort() } }
}

async function tryExchange (client: Client<typeof PeerService>, peer: Neighbour, hub: ExchangeHub, signal: AbortSignal): Promise<boolean> {
  const { membership, clock, suspectAfterMs } = hub.options
  const incarnation = membership.getMember(peer.host, clock.getNow())?.incarnation ?? 0
  const sent = hub.buildMessage(peer.host, clock.getNow())
  let response: ExchangeResponse
  try {
    response = await client.exchange(create(ExchangeRequestSchema, sent.message), { signal, timeoutMs: suspectAfterMs })
  } catch (error) {
    if (!signal.aborted) observeFailure(error, incarnation, peer, hub)
    return false
  }
  try {
    const sender = hub.receiveMessage(response, clock.getNow(), (progress) => {
      // The answer comes from another incarnation than the one to which the message was addressed: it has none of the updates sent before.
      if (incarnation !== 0 && progress.incarnation !== incarnation) return
      progress.confirmed = Math.max(progress.confirmed, sent.upTo)
      progress.backlog.length = Math.min(progress.backlog.length, incarnation === 0 ? Infinity : sent.backlogLeft)
      progress.confirmedTargets = Math.max(progress.confirmedTargets, sent.upToTargets)
      progress.sentRevision = sent.revision
      progress.isBroken = false
    })
    if (sender.host === peer.host) membership.observeAnswered(peer.host)
    else membership.observeSilence(peer.host, clock.getNow())
    return true
  } catch (error) {
    observeRefusedAnswer(error, peer, hub)
    return false
  }
}

/**
 * Handles an answer that this host refuses, e.g. because its sender has announced its end. Failure: if this refusal were
 * taken for one by the peer, this process would stop without reason. It only counts as a missing report of the peer.
 */
function observeRefusedAnswer (error: unknown, peer: Neighbour, hub: ExchangeHub): void {
  const { membership, clock, log } = hub.options
  hub.getProgress(peer.host).isBroken = true
  membership.observeSilence(peer.host, clock.getNow())
  log.debug({ err: error, peer: peer.host }, 'heartbeat answer rejected')
}

/** Distinguishes why an exchange failed: the process at the address has ended, the peer refused, or there was no answer. */
function observeFailure (error: unknown, incarnation: number, peer: Neighbour, hub: ExchangeHub): void {
  const { membership, clock, log, handleRefusal } = hub.options
  const now = clock.getNow()
  hub.getProgress(peer.host).isBroken = true
  const refusal = findRefusal(error)
  if (isConnectionRefused(error)) membership.observeRefused(peer.host, incarnation, peer.peerAddress, now)
  else membership.observeSilence(peer.host, now)
  if (refusal !== undefined) handleRefusal(refusal, peer.host)
  log.debug({ err: error, peer: peer.host, incarnation, refusal }, 'heartbeat failed')
}

async function tryRepair (client: Client<typeof PeerService>, peer: Neighbour, hub: ExchangeHub, signal: AbortSignal): Promise<void> {
  const { log, store, clock } = hub.options
  hub.beginRepair(clock.getNow())
  try {
    await repairFromPeer(client, hub, signal)
    log.info({ peer: peer.host, revision: store.current.revision }, 'changes fetched from peer')
  } catch (error) {
    hub.getProgress(peer.host).repairBlockedUntil = clock.getNow() + REPAIR_RETRY_DELAY_MS
    if (!signal.aborted) log.warn({ err: error, peer: peer.host, refusal: findRefusal(error) }, 'fetching changes from peer failed')
  } finally {
    hub.finishRepair()
  }
}

interface LastExchange {
  at: number
  isAnswered: boolean
}

/**
 * Waits until the next heartbeat is due, counted from the last message in either direction, or until there are
 * updates to send to the peer or changes to fetch from it.
 */
async function waitUntilDue (peer: Neighbour, hub: ExchangeHub, last: LastExchange, signal: AbortSignal): Promise<void> {
  const { clock } = hub.options
  for (;;) {
    const dueAt = isUrgent(peer, hub) ? last.at + MIN_EXCHANGE_INTERVAL_MS : computeDueAt(peer, hub, last)
    const now = clock.getNow()
    if (signal.aborted || now >= dueAt) return
    await sleepUntilWoken(peer, hub, dueAt - now, signal)
  }
}

/**
 * Failure: messages are lost in one direction only. A peer that reaches this host but can't be reached from it would look
 * live, so messages from the peer postpone this host's own exchange only up to a maximum time.
 */
function computeDueAt (peer: Neighbour, hub: ExchangeHub, last: LastExchange): number {
  const { intervalMs } = peer
  if (!last.isAnswered) return last.at + intervalMs
  const waitMs = hub.options.self.host < peer.host ? intervalMs : intervalMs * LATER_NAME_INTERVAL_FACTOR
  const contactAt = Math.max(last.at, hub.getProgress(peer.host).lastContactAt)
  return Math.min(contactAt + waitMs, last.at + Math.max(MAX_OWN_INTERVAL_MS, intervalMs * MAX_OWN_INTERVAL_FACTOR))
}

/** Whether to start an exchange before the heartbeat is due. After a failed exchange, updates wait for the next heartbeat. */
function isUrgent (peer: Neighbour, hub: ExchangeHub): boolean {
  if (hub.getProgress(peer.host).isBroken) return false
  return hub.hasUpdates(peer.host) || hub.isRepairAllowed(peer.host, hub.options.clock.getNow())
}

async function sleepUntilWoken (peer: Neighbour, hub: ExchangeHub, ms: number, signal: AbortSignal): Promise<void> {
  const controller = new AbortController()
  const wake = () => { controller.abort() }
  const unregister = hub.registerWaker(peer.host, wake)
  signal.addEventListener('abort', wake, { once: true })
  await hub.options.clock.sleep(ms, controller.signal)
  signal.removeEventListener('abort', wake)
  unregister()
}
