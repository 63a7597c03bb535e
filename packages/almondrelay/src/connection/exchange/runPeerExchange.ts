import type { Client } from '@connectrpc/connect'
import { create } from '@bufbuild/protobuf'
import { ExchangeRequestSchema } from 'almondrelay-protocol'
import type { ExchangeResponse, PeerService } from 'almondrelay-protocol'
import type { Neighbour } from '../../process/membership/neighbour.js'
import type { ExchangeHub } from './exchangeHub.js'
import { findRefusal } from './findRefusal.js'
import { isConnectionRefused } from '../../process/dispatch/isConnectionRefused.js'
import { repairFromPeer } from './repairFromPeer.js'

/** Shortest time between two exchanges with one peer, however much news there is. */
const SHORTEST_GAP_MS = 50
/** The host that is later by name waits this much longer, so that one exchange serves both. */
const SECOND_FACTOR = 1.5
/** Longest time without a try of one's own, however often the peer calls. */
const OWN_TRY_MS = 2_000
const OWN_TRY_FACTOR = 4
/** A peer whose claim of a revision could not be shown, or that didn't answer, isn't asked for changes before. */
const DISTRUST_MS = 5_000

/**
 * Exchanges heartbeats with one peer, and fetches the changes that it has and this host hasn't.
 *
 * Guards against a connection that has gone silent for good while new ones work: after a failed
 * exchange the connection is closed and the next one goes out on a new connection.
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
    } else if (hub.allowRepair(peer.host, lastAt)) await tryRepair(connection.client, peer, hub, signal)
    if (!signal.aborted) await waitForTurn(peer, hub, { at: lastAt, isAnswered }, signal)
  }
  connection.close()
  signal.removeEventListener('abort', close)
}

function openConnection (peer: Neighbour, hub: ExchangeHub): { client: Client<typeof PeerService>, close: () => void } {
  const owner = new AbortController()
  return { client: hub.options.createClient(peer.peerAddress, owner.signal), close: () => { owner.abort() } }
}

async function tryExchange (client: Client<typeof PeerService>, peer: Neighbour, hub: ExchangeHub, signal: AbortSignal): Promise<boolean> {
  const { membership, clock, suspectAfterMs } = hub.options
  const incarnation = membership.getMember(peer.host, clock.getNow())?.incarnation ?? 0
  const sent = hub.buildWord(peer.host, clock.getNow())
  let response: ExchangeResponse
  try {
    response = await client.exchange(create(ExchangeRequestSchema, sent.word), { signal, timeoutMs: suspectAfterMs })
  } catch (error) {
    if (!signal.aborted) observeFailure(error, incarnation, peer, hub)
    return false
  }
  try {
    const sender = hub.receiveWord(response, clock.getNow(), (progress) => {
      // A process that came after the one that was written to has none of what was told.
      if (incarnation !== 0 && progress.incarnation !== incarnation) return
      progress.confirmed = Math.max(progress.confirmed, sent.upTo)
      progress.backlog.length = Math.min(progress.backlog.length, incarnation === 0 ? Infinity : sent.backlogLeft)
      progress.confirmedTargets = Math.max(progress.confirmedTargets, sent.upToTargets)
      progress.toldRevision = sent.revision
      progress.isBroken = false
    })
    if (sender.host === peer.host) membership.observeAnswered(peer.host)
    else membership.observeSilence(peer.host, clock.getNow())
    return true
  } catch (error) {
    observeBadAnswer(error, peer, hub)
    return false
  }
}

/**
 * Failure: a peer's answer is refused here, as that peer has announced its end, and the refusal is taken
 * for the peer's of this process, which then stops for no reason. It counts as silence of the peer alone.
 */
function observeBadAnswer (error: unknown, peer: Neighbour, hub: ExchangeHub): void {
  const { membership, clock, log } = hub.options
  hub.getProgress(peer.host).isBroken = true
  membership.observeSilence(peer.host, clock.getNow())
  log.debug({ err: error, peer: peer.host }, 'answer to a heartbeat not taken')
}

/** Tells apart what a failed exchange shows: an ended process, a refusal, or only silence. */
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
    hub.getProgress(peer.host).distrustedUntil = clock.getNow() + DISTRUST_MS
    if (!signal.aborted) log.warn({ err: error, peer: peer.host, refusal: findRefusal(error) }, 'changes not fetched from peer')
  } finally {
    hub.finishRepair()
  }
}

interface LastTry {
  at: number
  isAnswered: boolean
}

/**
 * Waits until the next heartbeat is due, counted from the last message either way, or until there
 * is something to tell the peer or to fetch from it.
 */
async function waitForTurn (peer: Neighbour, hub: ExchangeHub, last: LastTry, signal: AbortSignal): Promise<void> {
  const { clock } = hub.options
  for (;;) {
    const dueAt = isUrgent(peer, hub) ? last.at + SHORTEST_GAP_MS : computeDueAt(peer, hub, last)
    const now = clock.getNow()
    if (signal.aborted || now >= dueAt) return
    await sleepUntilWoken(peer, hub, dueAt - now, signal)
  }
}

/**
 * Guards against a cut in one direction: a peer that reaches this host and can't be reached from it
 * would look live, so its own messages put off a try of this host only for so long.
 */
function computeDueAt (peer: Neighbour, hub: ExchangeHub, last: LastTry): number {
  const { intervalMs } = peer
  if (!last.isAnswered) return last.at + intervalMs
  const waitMs = hub.options.self.host < peer.host ? intervalMs : intervalMs * SECOND_FACTOR
  const contactAt = Math.max(last.at, hub.getProgress(peer.host).contactAt)
  return Math.min(contactAt + waitMs, last.at + Math.max(OWN_TRY_MS, intervalMs * OWN_TRY_FACTOR))
}

/** A peer that doesn't answer gets its news with the next heartbeat, not sooner. */
function isUrgent (peer: Neighbour, hub: ExchangeHub): boolean {
  if (hub.getProgress(peer.host).isBroken) return false
  return hub.hasNews(peer.host) || hub.allowRepair(peer.host, hub.options.clock.getNow())
}

async function sleepUntilWoken (peer: Neighbour, hub: ExchangeHub, ms: number, signal: AbortSignal): Promise<void> {
  const wait = new AbortController()
  const wake = () => { wait.abort() }
  const unregister = hub.registerWaker(peer.host, wake)
  signal.addEventListener('abort', wake, { once: true })
  await hub.options.clock.sleep(ms, wait.signal)
  signal.removeEventListener('abort', wake)
  unregister()
}
