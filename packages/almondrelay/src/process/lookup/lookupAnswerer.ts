import type { Random } from '../../request/random.js'
import { ClientBlocks } from '../../version/clientBlocks/clientBlocks.js'
import type { Configuration } from '../../version/configuration.js'
import type { HostView } from '../../version/weights/hostView.js'
import type { LookupAnswer } from '../../version/weights/lookupAnswer.js'
import { sortByWeightedDraw } from '../../version/weights/sortByWeightedDraw.js'
import type { DecisionModules } from '../dispatch/decisionModules.js'
import type { HostDirectory } from '../dispatch/hostDirectory.js'
import type { HostIdentity } from '../dispatch/hostIdentity.js'
import type { KnownHost } from '../dispatch/knownHost.js'
import type { Services } from '../dispatch/services.js'
import type { Clock } from '../platform/clock.js'
import type { LookupResult } from './lookupResult.js'

interface LookupDependencies {
  identity: HostIdentity
  clock: Clock
  random: Random
  services: Services
  directory: HostDirectory
  modules: DecisionModules
  ttlMs: number
}

/** Hosts in one answer; each adds 150 bytes, and a caller tries no more than these. */
const MAX_HOSTS = 6
/** Age at which weights are computed again, in milliseconds; look-ups until then draw from the same weights. */
const MAX_WEIGHTS_AGE_MS = 100
/** `computeLookupAnswer` spreads TTLs up to this factor of the mean. */
const MAX_TTL_FACTOR = 1.25

/**
 * Answers callers' look-ups with the entry hosts of the caller's region, in a random order drawn by weight, or
 * with those of other regions where none of them can be reached. The hosts shift work between regions, with
 * credits and under the caps; look-ups do not direct callers to other regions for that.
 */
export class LookupAnswerer {
  private readonly weights = new Map<string, LookupAnswer>()
  private blocks = ClientBlocks.empty
  private indexed: Configuration | undefined

  constructor (private readonly parts: LookupDependencies) {}

  /** Longest time for which a caller may cache an answer, in milliseconds. */
  get maxTtlMs (): number {
    return this.parts.ttlMs * MAX_TTL_FACTOR
  }

  /** Answers a look-up. `from` is the client's IP address, where the caller asks on behalf of a client. */
  answer (service: string, from: string | undefined): LookupResult {
    const { services, directory, random } = this.parts
    const { configuration } = services
    if (configuration === undefined) return { kind: 'not-ready' }
    if (services.find(service) === undefined) return { kind: 'unknown-service' }
    const weights = this.findWeights(service, this.findRegion(configuration, from))
    const hosts = sortByWeightedDraw(weights.hosts, random).slice(0, MAX_HOSTS).flatMap(({ host, weight }) => {
      const known = directory.find(host)
      return known === undefined || known.callerAddress === '' ? [] : [describeHost(known, weight)]
    })
    if (hosts.length === 0) return { kind: 'not-ready' }
    return { kind: 'answer', answer: { revision: configuration.revision, ttlMs: this.sampleTtlMs(), hosts } }
  }

  private findRegion (configuration: Configuration, from: string | undefined): string {
    if (from === undefined) return this.parts.identity.region
    if (this.indexed !== configuration) {
      this.blocks = this.blocks.withRegions(new Map(configuration.list('Region').map((region) => [region.name, region.spec.clientBlocks])))
      this.indexed = configuration
    }
    return this.blocks.findRegion(from) ?? this.parts.identity.region
  }

  private findWeights (service: string, region: string): LookupAnswer {
    const { clock, ttlMs, modules } = this.parts
    const now = clock.getNow()
    const key = `${service}/${region}`
    const previous = this.weights.get(key)
    if (previous !== undefined && now - previous.computedAt < MAX_WEIGHTS_AGE_MS && this.isEveryHostUsable(previous)) return previous
    const input = { hosts: this.listViews(service, region), ttlMs }
    const weights = modules.computeLookupAnswer(input, previous, now)
    this.weights.set(key, weights)
    return weights
  }

  /** A host that leaves or can't be reached is excluded at once, not only when the weights are computed again. */
  private isEveryHostUsable (weights: LookupAnswer): boolean {
    return weights.hosts.every(({ host }) => isUsable(this.parts.directory.find(host)))
  }

  private listViews (service: string, region: string): HostView[] {
    const usable = this.parts.directory.list().filter(isUsable)
    const near = usable.filter((host) => host.region === region)
    const hosts = near.length > 0 ? near : usable
    const hasSlots = hosts.some((host) => (host.slots.get(service) ?? 0) > 0)
    return hosts.map((host) => describeView(host, service, hasSlots))
  }

  private sampleTtlMs (): number {
    const { random, ttlMs } = this.parts
    return Math.round(ttlMs * (MAX_TTL_FACTOR - 2 * (MAX_TTL_FACTOR - 1) * random()))
  }
}

function isUsable (host: KnownHost | undefined): host is KnownHost {
  return host !== undefined && host.reachable && !host.gone && !host.leaving
}

/** Describes a host for the computation of weights. Where no host has reported slots yet, all count alike. */
function describeView (host: KnownHost, service: string, hasSlots: boolean): HostView {
  return {
    name: host.name,
    region: host.region,
    freeSlots: hasSlots ? host.freeSlots.get(service) ?? 0 : 1,
    slots: hasSlots ? host.slots.get(service) ?? 0 : 1,
    ageMs: Math.round(host.ageMs),
    leaving: host.leaving,
    reachable: host.reachable
  }
}

function describeHost (host: KnownHost, weight: number) {
  return {
    name: host.name,
    incarnation: host.incarnation,
    address: host.callerAddress,
    region: host.region,
    availabilityZone: host.availabilityZone,
    weight: Math.round(weight * 1_000) / 1_000
  }
}
