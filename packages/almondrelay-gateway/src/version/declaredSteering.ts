import type { Configuration } from 'almondrelay'

/** Weights by which operators divide the callers of a region among regions. */
interface DeclaredWeights {
  weights: Readonly<Record<string, number>>
  /** Whether requests that those regions can't take may go to others. */
  spill: boolean
}

/** Limit on the requests of one region's callers that run in another region at once. */
interface DeclaredCap {
  name: string
  to: string
  /** Undefined for all services together. */
  service?: string | undefined
  maxInFlight: number
}

interface TargetLocation {
  id: string
  service: string
  availabilityZone: string
  region: string
}

const ANY_REGION = '*'

/**
 * What operators declared for the hosts of one region, indexed for the look-ups of each request. There is one instance per
 * revision.
 */
export class DeclaredSteering {
  /** Steering where nothing is declared. */
  static readonly none = new DeclaredSteering()
  readonly caps: readonly DeclaredCap[] = []
  private readonly drained = new Set<string>()
  private readonly weightsByService = new Map<string, DeclaredWeights>()

  /** @param ownRegion region of this host, whose callers are steered */
  constructor (configuration?: Configuration, ownRegion = '') {
    if (configuration === undefined) return
    for (const { spec } of configuration.list('Drain')) this.drained.add(makeDrainKey(spec.scope, spec.name, spec.service))
    const caps = configuration.list('ShiftCap').map(({ name, spec }) => ({ name, ...spec }))
    // A link's limit applies to all services together, like a cap without a service.
    const links = configuration.list('Link').map(({ name, spec }) => ({ name, ...spec, service: undefined }))
    this.caps = [...caps, ...links].filter((cap) => cap.from === ownRegion)
    const policies = configuration.list('SteeringPolicy').map(({ spec }) => spec)
    for (const from of [ANY_REGION, ownRegion]) {
      for (const { service, weights, spill } of policies.filter((spec) => spec.from === from)) this.weightsByService.set(service, { weights, spill })
    }
  }

  /**
   * Whether a target gets no new requests because it or its availability zone is drained. The drain of a region takes effect in
   * steps, through the shares of the regions.
   */
  isDrained ({ id, service, availabilityZone }: TargetLocation): boolean {
    if (this.drained.size === 0) return false
    return this.drained.has(makeDrainKey('availabilityZone', availabilityZone)) || this.drained.has(makeDrainKey('target', id, service))
  }

  isRegionDrained (region: string): boolean {
    return this.drained.has(makeDrainKey('region', region))
  }

  findWeights (service: string): DeclaredWeights | undefined {
    return this.weightsByService.get(service)
  }

  /** Lists the caps that apply to requests for a service that run in another region. */
  listCaps (service: string, to: string): DeclaredCap[] {
    return this.caps.filter((cap) => cap.to === to && (cap.service === undefined || cap.service === service))
  }
}

const makeDrainKey = (scope: string, name: string, service = ''): string => `${scope} ${service} ${name}`
