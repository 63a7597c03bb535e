import type { TargetEntry } from '../../request/targetEntry.js'
import { TargetState } from '../../request/targetState.js'
import { OrganisationTable } from '../../version/organisationTable.js'
import { RouteTable } from '../../version/routeTable.js'
import type { ServiceDefinition } from '../../version/serviceDefinition.js'
import type { SteeringConfiguration } from '../../version/steeringConfiguration.js'
import { startPosition } from '../store/startPosition.js'
import type { StorePosition } from '../store/storePosition.js'
import type { HostEntry } from './hostEntry.js'

interface FleetListener {
  /** A target was added, or added again after its entry had lapsed. */
  targetAdded: (target: TargetState) => void
  /** A target was removed: it gets no new requests, and those it is running continue. */
  targetRemoved: (target: TargetState) => void
  /** A target restarted: requests sent to its previous incarnation will never be answered. */
  targetRestarted: (target: TargetState) => void
  /** A host's entry was removed from the store. */
  hostRemoved: (entry: HostEntry) => void
}

/** State of the fleet as last known from the platform's store: configuration, targets and hosts. Times are monotonic milliseconds. */
export class FleetState {
  configuration: SteeringConfiguration | undefined
  routes = new RouteTable([])
  organisations = new OrganisationTable(undefined)
  private readonly targets = new Map<string, TargetState>()
  private readonly targetsByService = new Map<string, TargetState[]>()
  private readonly evacuatedZones = new Set<string>()
  private readonly hosts = new Map<string, HostEntry>()
  /** The hosts as a list, until the next change of them. */
  private hostList: readonly HostEntry[] | undefined
  /** Targets by the hash that identifies their incarnation in reports between hosts. */
  private readonly targetsByIncarnation = new Map<number, TargetState>()
  private readonly targetsByAddress = new Map<string, Set<TargetState>>()
  /** Incremented with each change of the hosts. */
  hostsRevision = 0
  /** Monotonic milliseconds at which the store last confirmed this state; undefined before the first read. */
  confirmedAt: number | undefined
  /**
   * Monotonic milliseconds at which the store last confirmed to a peer that there is nothing newer than this state. A host
   * with a long watch timeout gets no answer from the store while nothing changes, although its state is up to date.
   */
  private peerConfirmedAt = -Infinity
  /** Position of the store up to which this state includes all changes. */
  storePosition: StorePosition = startPosition
  /** Position of the last notable change: one after which hosts decide differently than before. */
  notablePosition: StorePosition = startPosition
  /** Newest version of the configuration that another host has reported to be in force there. */
  reportedVersion = 0
  /** When a version newer than the one in force here was first reported. */
  private reportedAt = -Infinity
  /** The first full read of targets and hosts is done. */
  isComplete = false

  private readonly configurationWaiters: Array<() => void> = []

  constructor (private readonly listener: FleetListener) {}

  /** Resolves once there is a configuration, at once if there is one already, or after the timeout without one. */
  async waitForConfiguration (timeoutMs: number): Promise<void> {
    if (this.configuration !== undefined || timeoutMs <= 0) return
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs)
      this.configurationWaiters.push(() => { clearTimeout(timer); resolve() })
    })
  }

  /** Puts a version in force; returns false if it isn't newer, so that a delayed read can't restore an old version. */
  adoptConfiguration (configuration: SteeringConfiguration): boolean {
    if (this.configuration !== undefined && configuration.version <= this.configuration.version) return false
    this.configuration = configuration
    this.routes = new RouteTable(configuration.routes)
    this.organisations = new OrganisationTable(configuration.organisations)
    for (const resume of this.configurationWaiters.splice(0)) resume()
    return true
  }

  /**
   * Records a peer's report that the store had nothing newer at a given time. A report of another era confirms nothing.
   *
   * @param notablePosition position of the last notable change that the peer knows
   * @param confirmedAt when the store confirmed the peer's state
   */
  receivePeerConfirmation (notablePosition: StorePosition, confirmedAt: number): void {
    if (this.isCompleteUpTo(notablePosition)) this.peerConfirmedAt = Math.max(this.peerConfirmedAt, confirmedAt)
  }

  /** Records the version of the configuration that is in force at a peer. */
  receivePeerVersion (version: number, now: number): void {
    const known = this.configuration?.version ?? 0
    if (version > known && this.reportedVersion <= known) this.reportedAt = now
    this.reportedVersion = Math.max(this.reportedVersion, version)
  }

  /**
   * Returns whether a newer configuration than the one in force here may already be binding: this state has not been confirmed for too
   * long, or a peer has reported a newer version. A version that the store doesn't show within the same time was reported in error.
   *
   * @param boundMs milliseconds within which a configuration must be in force
   */
  isPossiblyOutdated (now: number, boundMs: number): boolean {
    const isReportedNewer = this.reportedVersion > (this.configuration?.version ?? 0) && now - this.reportedAt <= boundMs
    return isReportedNewer || this.computeAge(now) > boundMs
  }

  /** Returns whether this state has missed no notable change up to that of a peer, in the same era. */
  isCompleteUpTo (notablePosition: StorePosition): boolean {
    return notablePosition.era === this.storePosition.era && notablePosition.revision <= this.storePosition.revision
  }

  /** Returns the milliseconds since this state was last confirmed to be current, by the store or through a peer. */
  computeAge (now: number): number {
    return now - Math.max(this.confirmedAt ?? -Infinity, this.peerConfirmedAt)
  }

  findService (name: string): ServiceDefinition | undefined {
    return this.configuration?.services.get(name)
  }

  putTarget (entry: TargetEntry, now: number): void {
    const known = this.targets.get(entry.id)
    if (known !== undefined && known.entry.incarnation === entry.incarnation) {
      this.updateTarget(known, entry, now)
      return
    }
    if (known !== undefined) this.removeRestarted(known, now)
    if (this.isKnownService(entry.service)) this.clearAddress(entry, now)
    const target = new TargetState(entry, now)
    this.targets.set(entry.id, target)
    this.targetsByIncarnation.set(target.incarnationHash, target)
    this.putAddress(target)
    this.targetsByService.set(entry.service, [...this.listTargets(entry.service), target])
    this.listener.targetAdded(target)
  }

  private updateTarget (target: TargetState, entry: TargetEntry, now: number): void {
    const { ip, port } = target.entry
    const hasMoved = ip !== entry.ip || port !== entry.port
    if (hasMoved) this.removeAddress(target)
    target.updateEntry(entry, now)
    if (hasMoved) this.putAddress(target)
  }

  private putAddress (target: TargetState): void {
    const address = describeAddress(target.entry)
    const targets = this.targetsByAddress.get(address) ?? new Set()
    targets.add(target)
    this.targetsByAddress.set(address, targets)
  }

  private removeAddress (target: TargetState): void {
    const address = describeAddress(target.entry)
    const targets = this.targetsByAddress.get(address)
    targets?.delete(target)
    if (targets?.size === 0) this.targetsByAddress.delete(address)
  }

  removeTarget (id: string, now: number): TargetState | undefined {
    const target = this.targets.get(id)
    if (target === undefined) return undefined
    this.removeFromIndexes(target, now)
    this.listener.targetRemoved(target)
    return target
  }

  /** Removes a target at whose address another target answered, unless it has restarted in the meantime. */
  removeMisdirected (target: TargetState, now: number): void {
    if (this.targets.get(target.entry.id) === target) this.removeTarget(target.entry.id, now)
  }

  private removeRestarted (target: TargetState, now: number): void {
    this.removeFromIndexes(target, now)
    this.listener.targetRestarted(target)
  }

  private removeFromIndexes (target: TargetState, now: number): void {
    const { id, service } = target.entry
    target.markDeparted(now)
    this.targets.delete(id)
    this.targetsByIncarnation.delete(target.incarnationHash)
    this.removeAddress(target)
    this.targetsByService.set(service, this.listTargets(service).filter((each) => each !== target))
  }

  listTargets (service: string): readonly TargetState[] {
    return this.targetsByService.get(service) ?? []
  }

  listTargetIds (): string[] {
    return [...this.targets.keys()]
  }

  /** Returns the target whose incarnation this hash identifies in reports between hosts. */
  findIncarnation (incarnationHash: number): TargetState | undefined {
    return this.targetsByIncarnation.get(incarnationHash)
  }

  findTarget (id: string): TargetState | undefined {
    return this.targets.get(id)
  }

  listAllTargets (): Iterable<TargetState> {
    return this.targets.values()
  }

  setEvacuated (zone: string, isEvacuated: boolean): void {
    if (isEvacuated) this.evacuatedZones.add(zone)
    else this.evacuatedZones.delete(zone)
  }

  listEvacuated (): string[] {
    return [...this.evacuatedZones]
  }

  isEvacuated (zone: string): boolean {
    return this.evacuatedZones.has(zone)
  }

  putHost (entry: HostEntry): void {
    this.hosts.set(entry.name, entry)
    this.hostList = undefined
    this.hostsRevision += 1
  }

  removeHost (name: string): HostEntry | undefined {
    const entry = this.hosts.get(name)
    this.hosts.delete(name)
    this.hostList = undefined
    this.hostsRevision += 1
    if (entry !== undefined) this.listener.hostRemoved(entry)
    return entry
  }

  findHost (name: string): HostEntry | undefined {
    return this.hosts.get(name)
  }

  listHosts (): readonly HostEntry[] {
    this.hostList ??= [...this.hosts.values()]
    return this.hostList
  }

  // An entry of a service that is not configured comes from another writer of the store: it does not displace a target at its address.
  private isKnownService (name: string): boolean {
    return this.configuration === undefined || this.configuration.services.has(name)
  }

  // An address may be reused by a new target while the entry of the exited target that had it before still exists.
  private clearAddress (entry: TargetEntry, now: number): void {
    for (const target of this.targetsByAddress.get(describeAddress(entry)) ?? []) this.removeTarget(target.entry.id, now)
  }
}

const describeAddress = ({ ip, port }: TargetEntry): string => `${ip}:${port}`
