import type { BodyMemory } from '../../connection/bodyMemory.js'
import type { ConnectFailure } from '../../connection/connectFailure.js'
import type { TargetCodec } from '../../connection/targetCodec.js'
import { ColdAllowance } from '../../request/coldAllowance.js'
import { ShiftCapUse } from '../../request/shiftCapUse.js'
import type { TargetState } from '../../request/targetState.js'
import { DeclaredSteering } from '../../version/declaredSteering.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { PeerView } from '../peers/peerView.js'
import type { GatewaySettings } from '../settings/gatewaySettings.js'
import { ServiceRuntime } from './serviceRuntime.js'
import { TargetPools } from './targetPools.js'
import { TargetProbes } from './targetProbes.js'
import { TripTimes } from './tripTimes.js'

interface ForwardParts {
  settings: GatewaySettings
  fleet: FleetState
  peers: PeerView
  codec: TargetCodec
  memory: BodyMemory
  getNow: () => number
  countOpened: (region: string) => void
  /** @param isUnconnected whether no other connection of this host to the target stands */
  observeFailure: (target: TargetState, failure: ConnectFailure, isUnconnected: boolean) => void
  /** Called for a service with its first request. */
  startRuntime: (runtime: ServiceRuntime) => void
  /** Ends the host's own tasks. */
  signal: AbortSignal
}

/** What all requests of a host share. */
export class ForwardState {
  readonly fleet: FleetState
  readonly trips: TripTimes
  readonly pools: TargetPools
  readonly probes: TargetProbes
  readonly shiftCaps = new ShiftCapUse()
  /** What operators declared, of the newest revision that this host knows. */
  steering = DeclaredSteering.none
  private readonly cold: ColdAllowance
  private readonly runtimes = new Map<string, ServiceRuntime>()

  constructor (private readonly parts: ForwardParts) {
    const { settings, fleet, codec, memory, getNow, signal } = parts
    this.fleet = fleet
    this.trips = new TripTimes(settings.host.region)
    this.pools = new TargetPools({ codec, getNow, memory }, this.trips, parts)
    this.probes = new TargetProbes(this.pools, this.trips, signal)
    this.cold = new ColdAllowance(settings.host.name)
  }

  getRuntime (service: string): ServiceRuntime {
    const known = this.runtimes.get(service)
    if (known !== undefined) return known
    const runtime = new ServiceRuntime(service, this.parts.settings)
    this.runtimes.set(service, runtime)
    this.parts.startRuntime(runtime)
    return runtime
  }

  listRuntimes (): Iterable<ServiceRuntime> {
    return this.runtimes.values()
  }

  /** How old what decides is, in milliseconds; undefined where nothing was heard yet. */
  describeAges (now: number): { storeAgeMs: number | undefined, peerAgeMs: number | undefined } {
    const toAge = (at: number | undefined): number | undefined => at === undefined ? undefined : Math.round(now - at)
    return { storeAgeMs: toAge(this.fleet.confirmedAt), peerAgeMs: toAge(this.parts.peers.lastHeardAt) }
  }

  get ownRegion (): string {
    return this.parts.settings.host.region
  }

  /** Whether a request for a service may run in a region under the caps on shifts. */
  allowRegion (service: string, region: string): boolean {
    if (region === this.ownRegion || this.steering.caps.length === 0) return true
    return this.shiftCaps.allow(this.steering, service, region, this.parts.peers.countRegionHosts())
  }

  countHosts (): number | undefined {
    return this.parts.peers.countHosts()
  }

  allowCold (target: TargetState, now: number): boolean {
    const perSecond = this.fleet.findService(target.entry.service)?.coldPerSecond ?? 0
    return this.cold.allow(target, perSecond, this.parts.peers.listSenders(target.entry.region, now), now)
  }

  observeColdSend (target: TargetState, now: number): void {
    this.cold.observeSend(target, this.fleet.findService(target.entry.service)?.coldPerSecond ?? 1, now)
  }

  /** The target takes no new requests; those that it has go on. */
  dropTarget (targetId: string): void {
    this.cold.drop(targetId)
    this.pools.remove(targetId)
  }

  /** The target was started again: requests that wait for its former life wait for nothing. */
  abortTarget (targetId: string): void {
    this.cold.drop(targetId)
    this.pools.abort(targetId)
  }
}
