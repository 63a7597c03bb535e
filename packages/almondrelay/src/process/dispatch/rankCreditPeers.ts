import type { Random } from '../../request/random.js'
import type { Configuration } from '../../version/configuration.js'
import { findSteeringPolicy } from '../../version/findSteeringPolicy.js'
import type { HostIdentity } from './hostIdentity.js'
import type { KnownHost } from './knownHost.js'

interface RankInput {
  service: string
  /** Region that is to serve the work. */
  region: string
  identity: HostIdentity
  hosts: KnownHost[]
  configuration: Configuration | undefined
  random: Random
}

/** Peers asked in one round: each costs a round trip, and a caller waits meanwhile. */
const MAX_PEERS = 4
const UNKNOWN_LATENCY_MS = 200

/**
 * Peers to ask for credits, best first: the own zone, the serving region, then, for work of the own
 * region that its policy lets spill, other regions by latency. Equal peers are shuffled by their
 * free slots, so that hosts with one picture don't all ask the same peer.
 */
export function rankCreditPeers (input: RankInput): KnownHost[] {
  const { identity, region, hosts, random } = input
  const isSpillAllowed = region === identity.region && allowSpill(input)
  const ranked = hosts
    .filter((host) => host.name !== identity.host && host.reachable && !host.gone && !host.leaving)
    .filter((host) => host.region === region || isSpillAllowed)
    .map((host) => ({ host, cost: computeCost(host, input), draw: random() * (1 + (host.freeSlots.get(input.service) ?? 0)) }))
  ranked.sort((one, other) => one.cost - other.cost || other.draw - one.draw)
  return ranked.slice(0, MAX_PEERS).map((each) => each.host)
}

function allowSpill ({ configuration, service, identity }: RankInput): boolean {
  if (configuration === undefined) return true
  return findSteeringPolicy(configuration, service, identity.region)?.spill ?? true
}

/** One-way latency in milliseconds; 0 within the own zone. */
function computeCost (host: KnownHost, { identity, configuration, region }: RankInput): number {
  if (host.availabilityZone === identity.availabilityZone) return 0
  if (host.region === region) return 1
  const link = configuration?.list('Link').find((each) => each.spec.from === identity.region && each.spec.to === host.region)
  return 1 + (link?.spec.latencyMs ?? UNKNOWN_LATENCY_MS)
}
