import { create } from '@bufbuild/protobuf'
import { ExchangeResponseSchema } from 'almondrelay-protocol'
import type { ExchangeRequest, ExchangeResponse } from 'almondrelay-protocol'
import type { ExchangeHub } from './exchangeHub.js'

/**
 * Handles a peer's heartbeat; throws a typed refusal if the message is invalid.
 *
 * The answer isn't acknowledged. Its updates count as confirmed only once the peer sends a message without its own
 * summary, because a peer includes that summary after each failed exchange.
 */
export function handleExchange (request: ExchangeRequest, hub: ExchangeHub): ExchangeResponse {
  const now = hub.options.clock.getNow()
  const sender = hub.receiveMessage(request, now, (progress, ownSummary) => {
    if (ownSummary !== undefined) return
    progress.confirmed = Math.max(progress.confirmed, progress.offered)
    progress.backlog.length = Math.min(progress.backlog.length, progress.offeredBacklogLeft)
    progress.confirmedTargets = Math.max(progress.confirmedTargets, progress.offeredTargets)
  })
  const answer = hub.buildMessage(sender.host, now)
  const progress = hub.getProgress(sender.host)
  Object.assign(progress, { offered: answer.upTo, offeredBacklogLeft: answer.backlogLeft, offeredTargets: answer.upToTargets, sentRevision: answer.revision, isBroken: false })
  hub.options.log.trace({ peer: sender.host, revision: sender.revision }, 'heartbeat received')
  if (sender.revision > hub.options.store.current.revision) hub.wakeExchanges()
  return create(ExchangeResponseSchema, answer.message)
}
