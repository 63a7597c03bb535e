import type { Configuration } from 'almondrelay'

/** How an operator divides the callers of a region over regions. */
interface DeclaredWeights {
  weights: Readonly<Record<string, number>>
  /** Whether work that those regions can't take may go to others. */
  spill: boolean
}

/** A bound on the requests of one region's callers that run in another one at once. */
interface DeclaredCap {
  name: string
  to: string
  /** Undefined for all services together. */
  service?: string | undefined
  maxInFlight: number
}

interface PlacedTarget {
  id: string
  service: string
  availabilityZone: string
  region: string
}

const ANY_REGION = '*'

/** What operators declared for one region's hosts, in the form in which requests ask for it. One for each revision. */
export class DeclaredSteering {
  /** Nothing is declared. */
  static readonly none = new DeclaredSteering()
  readonly caps: readonly DeclaredCap[] = []
  private readonly drained = new Set<string>()
  private readonly weightsByService = new Map<string, DeclaredWeights>()

  /** @param ownRegion region of this host, whose callers it steers */
  constructor (configuration?: Configuration, ownRegion = '') {
    if (configuration === undefined) return
    for (const { spec } of configuration.list('Drain')) this.drained.add(makeDrainKey(spec.scope, spec.name, spec.service))
    const caps = configuration.list('ShiftCap').map(({ name, spec }) => ({ name, ...spec }))
    // A link's limit binds all services together, as a cap without a service does.
    const links = configuration.list('Link').map(({ name, spec }) => ({ name, ...spec, service: undefined }))
    this.caps = [...caps, ...links].filter((cap) => cap.from === ownRegion)
    const policies = configuration.list('SteeringPolicy').map(({ spec }) => spec)
    for (const from of [ANY_REGION, ownRegion]) {
      for (const { service, weights, spill } of policies.filter((spec) => spec.from === from)) this.weightsByService.set(service, { weights, spill })
    }
  }

  /** Whether a target gets no new work: it or its availability zone is drained. A region is drained by its parts, in steps. */
  isDrained ({ id, service, availabilityZone }: PlacedTarget): boolean {
    if (this.drained.size === 0) return false
    return this.drained.has(makeDrainKey('availabilityZone', availabilityZone)) || this.drained.has(makeDrainKey('target', id, service))
  }

  isRegionDrained (region: string): boolean {
    return this.drained.has(makeDrainKey('region', region))
  }

  findWeights (service: string): DeclaredWeights | undefined {
    return this.weightsByService.get(service)
  }

  /** Caps that bind requests for a service that run in another region. */
  listCaps (service: string, to: string): DeclaredCap[] {
    return this.caps.filter((cap) => cap.to === to && (cap.service === undefined || cap.service === service))
  }
}

const makeDrainKey = (scope: string, name: string, service = ''): string => `${scope} ${service} ${name}`
