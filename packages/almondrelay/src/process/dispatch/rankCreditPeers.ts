import type { Random } from '../../request/random.js'
import type { Configuration } from '../../version/configuration.js'
import { findSteeringPolicy } from '../../version/findSteeringPolicy.js'
import type { HostIdentity } from './hostIdentity.js'
import type { KnownHost } from './knownHost.js'

interface RankInput {
  service: string
  /** Region whose targets are to serve the requests. */
  region: string
  identity: HostIdentity
  hosts: KnownHost[]
  configuration: Configuration | undefined
  random: Random
}

/** Maximum number of peers asked in one round; each takes a round trip while a caller waits. */
const MAX_PEERS_PER_ROUND = 4
/** Latency assumed for a region to which no link is configured, in milliseconds. */
const DEFAULT_LATENCY_MS = 200

/**
 * Ranks the peers to ask for credits, best first: those in the own zone, then those in the serving region, then those
 * in other regions by latency, if the requests are for the own region and its policy allows spill. Peers of equal cost
 * are ordered randomly, weighted by their free slots, so that hosts with the same state don't all ask the same peer.
 */
export function rankCreditPeers (input: RankInput): KnownHost[] {
  const { identity, region, hosts, random } = input
  const isSpillAllowed = region === identity.region && allowSpill(input)
  const ranked = hosts
    .filter((host) => host.name !== identity.host && host.reachable && !host.gone && !host.leaving)
    .filter((host) => host.region === region || isSpillAllowed)
    .map((host) => ({ host, cost: computeCost(host, input), tieBreak: random() * (1 + (host.freeSlots.get(input.service) ?? 0)) }))
  ranked.sort((one, other) => one.cost - other.cost || other.tieBreak - one.tieBreak)
  return ranked.slice(0, MAX_PEERS_PER_ROUND).map((each) => each.host)
}

function allowSpill ({ configuration, service, identity }: RankInput): boolean {
  if (configuration === undefined) return true
  return findSteeringPolicy(configuration, service, identity.region)?.spill ?? true
}

/** Computes the cost of using a peer: 0 in the own zone, 1 in the serving region, otherwise 1 plus the one-way latency in milliseconds. */
function computeCost (host: KnownHost, { identity, configuration, region }: RankInput): number {
  if (host.availabilityZone === identity.availabilityZone) return 0
  if (host.region === region) return 1
  const link = configuration?.list('Link').find((each) => each.spec.from === identity.region && each.spec.to === host.region)
  return 1 + (link?.spec.latencyMs ?? DEFAULT_LATENCY_MS)
}
