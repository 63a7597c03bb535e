import type { ConnectFailure } from '../../connection/connectFailure.js'
import type { MessageMemory } from '../../connection/messageMemory.js'
import type { OpenCause } from '../../connection/openCause.js'
import type { TargetCodec } from '../../connection/targetCodec.js'
import { ColdAllowance } from '../../request/coldAllowance.js'
import { ShiftCapUsage } from '../../request/shiftCapUsage.js'
import type { TargetState } from '../../request/targetState.js'
import { DeclaredSteering } from '../../version/declaredSteering.js'
import { SendLimiter } from '../announcements/sendLimiter.js'
import type { TargetAnnouncements } from '../announcements/targetAnnouncements.js'
import type { FleetState } from '../fleet/fleetState.js'
import { CarrierClient } from '../carriers/carrierClient.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import { LinkMonitor } from '../links/linkMonitor.js'
import { TargetLoads } from '../loads/targetLoads.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'
import type { PeerView } from '../peers/peerView.js'
import type { GatewaySettings } from '../settings/gatewaySettings.js'
import type { RequestRecord } from './requestRecord.js'
import { ServiceRuntime } from './serviceRuntime.js'
import { TargetPools } from './targetPools.js'
import { TargetProber } from './targetProber.js'
import { RoundTripTimes } from './roundTripTimes.js'

interface ForwardParts {
  own: HostEntry
  settings: GatewaySettings
  fleet: FleetState
  peers: PeerView
  codec: TargetCodec
  /** Memory for answers. */
  memory: MessageMemory
  /** Memory for bodies of requests. */
  bodies: MessageMemory
  announcements: TargetAnnouncements
  getNow: () => number
  random: () => number
  countOpened: (region: string, cause: OpenCause) => void
  /** @param isUnconnected whether this host has no other open connection to the target */
  observeFailure: (target: TargetState, failure: ConnectFailure, isUnconnected: boolean) => void
  /** Called when a target's process has exited. */
  handleExit: (target: TargetState, now: number) => void
  /** Called when links to targets, or hosts that carry attempts, count as lost. */
  handleLinkLoss: () => void
  log: EventLog
  metrics: GatewayMetrics
  /** Called at the first request for a service. */
  startRuntime: (runtime: ServiceRuntime) => void
  /** Aborts when the host's own tasks are to end. */
  signal: AbortSignal
}

/** State that all requests of a host share. */
export class ForwardState {
  readonly fleet: FleetState
  readonly announcements: TargetAnnouncements
  readonly sendLimiter: SendLimiter
  readonly roundTripTimes: RoundTripTimes
  readonly pools: TargetPools
  readonly prober: TargetProber
  readonly links: LinkMonitor
  readonly carriers: CarrierClient
  readonly targetLoads: TargetLoads
  readonly shiftCapUsage = new ShiftCapUsage()
  /** Operators' declarations, of the newest revision that this host knows. */
  steering = DeclaredSteering.none
  private readonly coldAllowance: ColdAllowance
  private readonly runtimes = new Map<string, ServiceRuntime>()

  constructor (private readonly parts: ForwardParts) {
    const { settings, fleet, codec, memory, getNow, random, signal } = parts
    this.fleet = fleet
    this.announcements = parts.announcements
    this.targetLoads = new TargetLoads({ fleet, metrics: parts.metrics })
    this.roundTripTimes = new RoundTripTimes(settings.host.region)
    this.pools = new TargetPools({ codec, getNow, memory, observeUnsound: (reason) => { parts.metrics.countUnsoundAnswer(reason) } }, this.roundTripTimes, {
      countOpened: parts.countOpened,
      observeStray: (target, stray) => {
        parts.metrics.countStrayAnswer(target.entry.id, stray.handling)
        parts.log.record('answer of a target that is not the awaited one', { target: target.entry.id, ...stray })
      },
      observeConnect: (target) => { this.links.observeConnect(target, getNow()) },
      observeFailure: (target, failure, isUnconnected) => {
        parts.observeFailure(target, failure, isUnconnected)
        this.links.handleConnectFailure(target, failure, isUnconnected)
      }
    })
    this.carriers = new CarrierClient({ ...parts, view: parts.peers, roundTripTimes: this.roundTripTimes, handleSilence: parts.handleLinkLoss })
    this.links = new LinkMonitor({ ...parts, pools: this.pools, roundTripTimes: this.roundTripTimes, listTargets: () => fleet.listAllTargets(), askPeers: (target) => this.carriers.askPeers(target), handleLoss: parts.handleLinkLoss })
    this.prober = new TargetProber(this.pools, this.roundTripTimes, signal)
    this.coldAllowance = new ColdAllowance(settings.host.name)
    this.sendLimiter = new SendLimiter({ ownHost: settings.host.name, announcements: parts.announcements, listSenders: (region, now) => parts.peers.listSenders(region, now), random })
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

  /** Returns the era and the ages of the state that choices are based on; ages are undefined before the first confirmation or report. */
  describeKnownState (now: number): Pick<RequestRecord, 'storeEra' | 'storeAgeMs' | 'peerAgeMs'> {
    const toAge = (at: number | undefined): number | undefined => at === undefined ? undefined : Math.round(now - at)
    return { storeEra: this.fleet.storePosition.era, storeAgeMs: toAge(this.fleet.confirmedAt), peerAgeMs: toAge(this.parts.peers.lastReportAt) }
  }

  get ownRegion (): string {
    return this.parts.settings.host.region
  }

  /** Whether the shift caps allow a request for a service to run in a region. */
  allowRegion (service: string, region: string): boolean {
    if (region === this.ownRegion || this.steering.caps.length === 0) return true
    return this.shiftCapUsage.allow(this.steering, service, region, this.parts.peers.countRegionHosts())
  }

  /** Whether a zone's evacuation or an operators' drain keeps new requests away from a target. */
  isClosed ({ entry }: TargetState): boolean {
    return this.fleet.isEvacuated(entry.availabilityZone) || this.steering.isDrained(entry)
  }

  countHosts (): number | undefined {
    return this.parts.peers.countHosts()
  }

  allowCold (target: TargetState, now: number): boolean {
    const perSecond = this.fleet.findService(target.entry.service)?.coldPerSecond ?? 0
    return this.coldAllowance.allow(target, perSecond, this.parts.peers.listSenders(target.entry.region, now), now)
  }

  observeColdSend (target: TargetState, now: number): void {
    this.coldAllowance.observeSend(target, this.fleet.findService(target.entry.service)?.coldPerSecond ?? 1, now)
  }

  /** Stops sending requests to a target that takes no new ones; those that it is running continue. */
  dropTarget (target: TargetState): void {
    this.links.drop(target)
    this.coldAllowance.drop(target.entry.id)
    this.pools.remove(target.entry.id)
  }

  /** Aborts the requests at a target that was restarted: its previous incarnation will never answer them. */
  abortTarget (target: TargetState): void {
    this.links.drop(target)
    this.coldAllowance.drop(target.entry.id)
    this.pools.abort(target.entry.id)
  }
}
