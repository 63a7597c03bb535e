import type { ExchangeHub } from './exchangeHub.js'
import { repairFromPeer } from './repairFromPeer.js'

type Source = (signal: AbortSignal) => Promise<boolean>

/**
 * The neighbours as sources of an empty host's first configuration, for `loadFirstConfiguration`.
 * One that has none itself refuses, and so doesn't count as an answer.
 */
export function createPeerSources (hub: ExchangeHub): Source[] {
  const { membership, clock, createClient } = hub.options
  return membership.planNeighbours(clock.getNow()).map(({ peerAddress }) => async (signal) => {
    await repairFromPeer(createClient(peerAddress, signal), hub, signal)
    return true
  })
}
