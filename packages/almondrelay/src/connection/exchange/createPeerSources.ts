import type { ExchangeHub } from './exchangeHub.js'
import { repairFromPeer } from './repairFromPeer.js'

type ConfigurationSource = (signal: AbortSignal) => Promise<boolean>

/**
 * Returns the neighbours as sources for `loadFirstConfiguration`, from which a host that has no configuration loads it.
 * A neighbour that has no configuration either refuses, so its source rejects and doesn't count as an answer.
 */
export function createPeerSources (hub: ExchangeHub): ConfigurationSource[] {
  const { membership, clock, createClient } = hub.options
  return membership.planNeighbours(clock.getNow()).map(({ peerAddress }) => async (signal) => {
    await repairFromPeer(createClient(peerAddress, signal), hub, signal)
    return true
  })
}
