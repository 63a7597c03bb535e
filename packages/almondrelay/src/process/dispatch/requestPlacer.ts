import type { CallerRequest } from '../../request/contract/callerRequest.js'
import type { PlacementInput } from '../../request/placement/placementInput.js'
import type { ZoneView } from '../../request/placement/zoneView.js'
import { RefusalReason } from '../../request/refusalReason.js'
import type { Configuration } from '../../version/configuration.js'
import { findDrainedZones } from '../../version/findDrainedZones.js'
import { findSteeringPolicy } from '../../version/findSteeringPolicy.js'
import type { Clock } from '../platform/clock.js'
import type { DecisionModules } from './decisionModules.js'
import type { HostDirectory } from './hostDirectory.js'
import type { HostIdentity } from './hostIdentity.js'
import type { KnownHost } from './knownHost.js'
import type { RegionQueue } from './regionQueue.js'
import type { QueueRefusal } from './queueRefusal.js'
import type { ServiceRuntime } from './serviceRuntime.js'
import type { Services } from './services.js'
import type { SlotPool } from './slotPool.js'

interface PlacerParts {
  identity: HostIdentity
  clock: Clock
  services: Services
  slots: SlotPool
  directory: HostDirectory
  modules: DecisionModules
}

interface CachedZones {
  hosts: KnownHost[]
  configuration: Configuration
  zones: ZoneView[]
}

type PlacerResult = { kind: 'placed', regionQueue: RegionQueue } | QueueRefusal

/** Latency assumed for a region to which no link is configured, in milliseconds. */
const DEFAULT_LATENCY_MS = 200
/** Latency assumed within the own region, in milliseconds. */
const OWN_REGION_LATENCY_MS = 1
/** Service time assumed for a request, in milliseconds, when the time left until its deadline is checked. */
const MIN_COST_MS = 1

/** Decides which region serves a request, and returns the queue of that region. */
export class RequestPlacer {
  private readonly zonesByService = new Map<string, CachedZones>()

  constructor (private readonly parts: PlacerParts) {}

  place (request: CallerRequest, runtime: ServiceRuntime, deadlineAt: number): PlacerResult {
    const { clock, modules, services } = this.parts
    const now = clock.getNow()
    const configuration = services.configuration
    if (configuration === undefined) return { kind: 'refused', reason: RefusalReason.notReady, retryAfterMs: 1_000 }
    const input = this.buildInput(runtime, configuration, deadlineAt, now)
    const placement = modules.choosePlacement(request.id, input, now)
    if (placement.kind === 'refuse') return { kind: 'refused', reason: placement.reason, retryAfterMs: placement.retryAfterMs }
    const preferredZone = placement.zones[0]
    if (preferredZone === undefined) return { kind: 'refused', reason: RefusalReason.noTarget, retryAfterMs: 1_000 }
    return { kind: 'placed', regionQueue: services.getOrCreateQueue(runtime, preferredZone.region) }
  }

  private buildInput (runtime: ServiceRuntime, configuration: Configuration, deadlineAt: number, now: number): PlacementInput {
    const { identity } = this.parts
    const policy = findSteeringPolicy(configuration, runtime.name, identity.region)
    return {
      service: runtime.name,
      ownZone: identity.availabilityZone,
      ownRegion: identity.region,
      callerRegion: identity.region,
      ...(policy === undefined ? {} : { weights: policy.weights }),
      spill: policy?.spill ?? true,
      zones: this.buildZones(runtime, configuration, now),
      caps: [],
      remainingMs: deadlineAt - now,
      costMs: MIN_COST_MS
    }
  }

  /** The own zone's free slots are counted now; the others are described anew when the host list or the configuration changes. */
  private buildZones (runtime: ServiceRuntime, configuration: Configuration, now: number): ZoneView[] {
    const { identity, slots, directory } = this.parts
    const hosts = directory.list()
    const cached = this.zonesByService.get(runtime.name)
    const isCurrent = cached !== undefined && cached.hosts === hosts && cached.configuration === configuration
    const zones = isCurrent ? cached.zones : this.describeZones(runtime, configuration, hosts)
    if (!isCurrent) this.zonesByService.set(runtime.name, { hosts, configuration, zones })
    return zones.map((zone) => zone.availabilityZone === identity.availabilityZone
      ? { ...zone, freeSlots: slots.countFree(runtime.name, now), ageMs: 0, reachable: true }
      : zone)
  }

  private describeZones (runtime: ServiceRuntime, configuration: Configuration, hosts: KnownHost[]): ZoneView[] {
    const drained = findDrainedZones(configuration)
    return configuration.list('Region').flatMap((region) => region.spec.availabilityZones.map((availabilityZone) => {
      const targets = runtime.spec.targets.filter((target) => target.availabilityZone === availabilityZone)
      return {
        availabilityZone,
        region: region.name,
        slots: targets.reduce((sum, target) => sum + target.slots, 0),
        draining: drained.has(availabilityZone),
        latencyMs: this.findLatencyMs(configuration, region.name),
        ...summarizeHosts(hosts.filter((host) => host.availabilityZone === availabilityZone), runtime.name)
      }
    }))
  }

  private findLatencyMs (configuration: Configuration, region: string): number {
    const { identity } = this.parts
    if (region === identity.region) return OWN_REGION_LATENCY_MS
    const link = configuration.list('Link').find((each) => each.spec.from === identity.region && each.spec.to === region)
    return link?.spec.latencyMs ?? DEFAULT_LATENCY_MS
  }
}

function summarizeHosts (hosts: KnownHost[], service: string): Pick<ZoneView, 'freeSlots' | 'ageMs' | 'reachable'> {
  const usable = hosts.filter((host) => host.reachable && !host.gone && !host.leaving)
  const freeSlots = usable.reduce((sum, host) => sum + (host.freeSlots.get(service) ?? 0), 0)
  return { freeSlots, ageMs: Math.min(...usable.map((host) => host.ageMs), Number.MAX_SAFE_INTEGER), reachable: usable.length > 0 }
}
