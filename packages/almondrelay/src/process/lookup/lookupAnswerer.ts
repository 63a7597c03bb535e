import type { Random } from '../../request/random.js'
import type { Clock } from '../platform/clock.js'
import type { HostDirectory } from '../dispatch/hostDirectory.js'
import type { HostIdentity } from '../dispatch/hostIdentity.js'
import type { KnownHost } from '../dispatch/knownHost.js'
import type { Services } from '../dispatch/services.js'

interface LookupHost {
  name: string
  incarnation: number
  address: string
  region: string
  availabilityZone: string
  weight: number
}

interface LookupAnswer {
  revision: number
  ttlMs: number
  hosts: LookupHost[]
}

type LookupResult =
  | { kind: 'answer', answer: LookupAnswer }
  | { kind: 'unknown-service' }
  | { kind: 'not-ready' }

interface LookupParts {
  identity: HostIdentity
  clock: Clock
  random: Random
  services: Services
  directory: HostDirectory
  ttlMs: number
}

const MAX_HOSTS = 6
const TTL_SPREAD = 0.5

/** Answers callers' look-ups: the entry hosts to use for a service, best first. */
export class LookupAnswerer {
  constructor (private readonly parts: LookupParts) {}

  /** Longest time for which a caller may keep an answer, in milliseconds. */
  get maxTtlMs (): number {
    return this.parts.ttlMs
  }

  answer (service: string, _from: string | undefined): LookupResult {
    const { services, directory, random, ttlMs } = this.parts
    const configuration = services.configuration
    if (configuration === undefined) return { kind: 'not-ready' }
    if (services.find(service) === undefined) return { kind: 'unknown-service' }
    const hosts = directory.list().filter((host) => host.reachable && !host.gone && !host.leaving)
    if (hosts.length === 0) return { kind: 'not-ready' }
    const ranked = hosts
      .map((host) => ({ host, distance: this.computeDistance(host), draw: random() }))
      .sort((one, other) => one.distance - other.distance || other.draw - one.draw)
      .slice(0, MAX_HOSTS)
    return {
      kind: 'answer',
      answer: {
        revision: configuration.revision,
        ttlMs: Math.round(ttlMs * (1 - TTL_SPREAD * random())),
        hosts: ranked.map(({ host }) => ({
          name: host.name,
          incarnation: host.incarnation,
          address: host.callerAddress,
          region: host.region,
          availabilityZone: host.availabilityZone,
          weight: 1 / ranked.length
        }))
      }
    }
  }

  private computeDistance (host: KnownHost): number {
    const { identity } = this.parts
    if (host.availabilityZone === identity.availabilityZone) return 0
    return host.region === identity.region ? 1 : 2
  }
}
