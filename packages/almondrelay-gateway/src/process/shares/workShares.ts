import { computeShareDraw } from '../../request/computeShareDraw.js'
import { computeShareFraction } from '../../request/computeShareFraction.js'
import { computeShareRetryAfter } from '../../request/computeShareRetryAfter.js'
import { putBounded } from '../../request/putBounded.js'
import { ServiceShares } from '../../request/serviceShares.js'
import { SHARE_SLOT_MS } from '../../request/shareSlotMs.js'
import { sumWork } from '../../request/sumWork.js'
import { WorkMeter } from '../../request/workMeter.js'
import { computeHash } from '../../version/computeHash.js'
import type { AgedSnapshot } from './agedSnapshot.js'
import type { AgedWork } from './agedWork.js'
import type { SnapshotReport } from './snapshotReport.js'
import type { ShareRefusal } from './shareRefusal.js'
import type { ShareRequest } from './shareRequest.js'
import { toUint32 } from './toUint32.js'
import type { WorkReport } from './workReport.js'

/** Milliseconds for which the last snapshot received stays in force; after that a host decides by its own counts. */
const SNAPSHOT_LIFE_MS = 5_000
/** Milliseconds without a snapshot from the first aggregator after which another one uses and sends its own. */
const TAKE_OVER_MS = 1_500
/**
 * Milliseconds after which a new first aggregator, or one that has heard no shares since its start, sends shares. By then it has heard those
 * of the second one, which takes over within it, and continues with them.
 */
const SETTLE_MS = 2_500
/** Milliseconds after which a new aggregator has the counts of its zone's hosts, which report twice a second. */
const COUNTS_MS = 1_000
/** Milliseconds after which a host's or zone's counts are left out. */
const WORK_LIFE_MS = 1_500
/** Bounds of what is kept, as anybody can send reports. */
const MAX_SERVICES = 20
const MAX_SENDERS = 1_000
/** Requests a second turned away below which a host reports no organisations and routes of a service, as nothing is decided by them. */
const QUIET_TURNED_AWAY_PER_SECOND = 0.1

interface SharesParts {
  availabilityZone: string
  region: string
  /** Monotonic milliseconds at which the host started. */
  startedAt: number
  isAggregator: (now: number) => boolean
  isFirstAggregator: (now: number) => boolean
  /** Called with the shares in force of an overloaded service after each change of them, and with undefined when overload has ended. */
  handleSnapshot: (service: string, aged: AgedSnapshot | undefined, hasBegun: boolean) => void
}

interface Sender { availabilityZone: string, region: string }
interface ReceivedWork extends Sender { receivedAt: number, works: ReadonlyMap<number, AgedWork> }
interface ReceivedSnapshots { receivedAt: number, snapshots: ReadonlyMap<number, AgedSnapshot> }

const NO_SNAPSHOTS: ReadonlyMap<number, AgedSnapshot> = new Map()

/**
 * Holds the fair shares of overloaded services, as far as this host knows.
 *
 * Each host reports what its callers ask for to the aggregators of its zone; these exchange their zones' sums within the region and compute
 * the shares, which the first of them sends to the zone's hosts. A host that hears from nobody decides by the last shares it received, and
 * after that by its own counts.
 */
export class WorkShares {
  private readonly meters = new Map<number, { name: string, meter: WorkMeter }>()
  private readonly hosts = new Map<string, ReceivedWork>()
  private readonly zones = new Map<string, ReceivedWork>()
  private readonly controls = new Map<number, ServiceShares>()
  private computed: ReceivedSnapshots | undefined
  private received: ReceivedSnapshots | undefined
  private readonly overloaded = new Set<string>()
  private clockOffsetMs = 0
  private aggregatorSince: number | undefined
  /** Whether this host was in charge at its last update. It comes in charge in updates only, so that it adopts shares before it sends any. */
  private wasInCharge = false

  constructor (private readonly parts: SharesParts) {}

  /** Meters a request and decides about it; undefined if it is admitted. */
  decide (asked: ShareRequest, now: number, random: number): ShareRefusal | undefined {
    // Shares arrive with rounded priorities. An organisation of priority 1.5 would count as more urgent than the rank of 2 that it is in.
    const request = { ...asked, organisationPriority: toUint32(asked.organisationPriority), routePriority: toUint32(asked.routePriority) }
    const aged = this.findSnapshot(request.service, now)
    const fraction = aged === undefined ? 1 : computeShareFraction(aged.snapshot, request)
    // A caller that came back as told would miss the slot that it was told, if a slow host drew by the time at which it handles the request.
    const slot = Math.floor((request.arrivedAt + this.clockOffsetMs) / SHARE_SLOT_MS)
    const isAdmitted = fraction >= 1 || computeShareDraw(request.requestHash, slot) < fraction
    // What is refused for want of time takes no capacity. Counted as admitted, it would lower its organisation's fraction.
    const isCounted = isAdmitted && (aged === undefined || request.remainingMs >= request.neededMs)
    this.findOrCreateMeter(request.service).observeRequest(request, request.workMs, isCounted, now)
    if (isAdmitted || aged === undefined) return undefined
    const share = aged.snapshot.organisations.get(request.organisation)
    const isOfMargin = request.organisationPriority === aged.snapshot.marginPriority
    return {
      retryAfterMs: computeShareRetryAfter({ fraction, requestHash: request.requestHash, clockMs: now + this.clockOffsetMs, remainingMs: request.remainingMs, random }),
      shareMs: isOfMargin ? aged.snapshot.shareMs : undefined,
      askedMs: isOfMargin ? share?.askedMs : undefined,
      allowedPart: fraction,
      snapshotAgeMs: Math.round(aged.ageMs)
    }
  }

  /** Records what became of an admitted request. */
  observeOutcome (service: string, workMs: number, wasSent: boolean, wasTurnedAway: boolean, now: number): void {
    this.findOrCreateMeter(service).observeAdmitted(workMs, wasSent, wasTurnedAway, now)
  }

  /** Returns the shares of a service that are in force at this host; undefined if it isn't overloaded. */
  findSnapshot (service: string, now: number): AgedSnapshot | undefined {
    const source = this.findSource(now)
    const aged = source?.snapshots.get(computeHash(service))
    return aged === undefined || source === undefined ? undefined : { snapshot: aged.snapshot, ageMs: aged.ageMs + now - source.receivedAt }
  }

  /** Computes the shares anew at an aggregator or, by its own counts alone, at a host that hears from nobody. Called twice a second. */
  update (now: number): void {
    const isAggregator = this.parts.isAggregator(now)
    this.aggregatorSince = isAggregator ? this.aggregatorSince ?? now : undefined
    if (!isAggregator && this.wasInCharge) this.keepComputed()
    if (isAggregator && !this.wasInCharge) this.adoptSnapshots(now)
    this.wasInCharge = this.isDueInCharge(now)
    if (this.aggregatorSince !== undefined) this.computed = { receivedAt: now, snapshots: this.computeRegion(this.aggregatorSince, now) }
    else if (this.isAlone(now)) this.computed = { receivedAt: now, snapshots: this.computeSnapshots(this.describeMeters(now, true), now) }
    else {
      this.computed = undefined
      this.controls.clear()
    }
    this.reportChanges(now)
  }

  /** Returns what this host reports to the aggregators of its zone. */
  describeOwn (now: number): WorkReport {
    return { own: this.describeMeters(now, false), zone: undefined, shares: undefined }
  }

  /** Returns the sums of this zone and the shared clock, for the aggregators of the region's other zones. */
  describeZone (now: number): WorkReport {
    return { own: undefined, zone: this.sumZone(now), shares: { clockMs: now + this.clockOffsetMs, snapshots: NO_SNAPSHOTS } }
  }

  /**
   * Returns the shares for the hosts of this zone; undefined if another aggregator sends them.
   *
   * @param maxOrganisations maximum organisations of each service, those that ask for most first
   */
  describeShares (now: number, maxOrganisations = Infinity): WorkReport | undefined {
    if (this.computed === undefined || !this.isInCharge(now)) return undefined
    return { own: undefined, zone: undefined, shares: { clockMs: now + this.clockOffsetMs, snapshots: new Map([...this.computed.snapshots].map(([service, aged]) => [service, limitOrganisations(aged, maxOrganisations)])) } }
  }

  /** Whether any service is overloaded, as far as this host knows. */
  hasOverload (now: number): boolean {
    return (this.findSource(now)?.snapshots.size ?? 0) > 0
  }

  /** Applies a report of a host of this region. */
  receiveReport (host: string, sender: Sender, { own, zone, shares }: WorkReport, now: number): void {
    if (sender.region !== this.parts.region) return
    const isOwnZone = sender.availabilityZone === this.parts.availabilityZone
    if (own !== undefined && isOwnZone) putBounded(this.hosts, host, { ...sender, receivedAt: now, works: own }, MAX_SENDERS)
    if (zone !== undefined && !isOwnZone) putBounded(this.zones, host, { ...sender, receivedAt: now, works: zone }, MAX_SENDERS)
    if (shares === undefined) return
    // Hosts follow the furthest clock, so that those of a region agree after two rounds of reports.
    this.clockOffsetMs = Math.max(this.clockOffsetMs, shares.clockMs - now)
    if (isOwnZone) this.receiveSnapshots(shares, now)
  }

  private receiveSnapshots ({ snapshots }: SnapshotReport, now: number): void {
    this.received = { receivedAt: now, snapshots }
    this.wasInCharge = this.isInCharge(now)
    this.reportChanges(now)
  }

  private findSource (now: number): ReceivedSnapshots | undefined {
    if (this.isInCharge(now) || this.isAlone(now)) return this.computed
    return this.findReceived(now)
  }

  private findReceived (now: number): ReceivedSnapshots | undefined {
    return this.received !== undefined && now - this.received.receivedAt <= SNAPSHOT_LIFE_MS ? this.received : undefined
  }

  /** Whether this aggregator's own shares are in force. */
  private isInCharge (now: number): boolean {
    return this.wasInCharge && this.isDueInCharge(now)
  }

  /** Whether this aggregator is the first one, or hears no shares from the first one. */
  private isDueInCharge (now: number): boolean {
    if (!this.parts.isAggregator(now)) return false
    const isSettled = this.aggregatorSince !== undefined && now - this.aggregatorSince >= SETTLE_MS
    if (isSettled && this.parts.isFirstAggregator(now)) return true
    return this.received === undefined ? now - this.parts.startedAt > SETTLE_MS : now - this.received.receivedAt > TAKE_OVER_MS
  }

  /** Whether this host has received no shares for so long that it decides by its own counts. */
  private isAlone (now: number): boolean {
    return now - (this.received?.receivedAt ?? this.parts.startedAt) > SNAPSHOT_LIFE_MS
  }

  /** Keeps the shares that this host sent while it was in charge as the last ones received, where it has received none since. */
  private keepComputed (): void {
    if (this.computed !== undefined && this.computed.receivedAt > (this.received?.receivedAt ?? -Infinity)) this.received = this.computed
  }

  /** Continues with the last shares received, where this aggregator doesn't know of the overload yet. */
  private adoptSnapshots (now: number): void {
    for (const [service, { snapshot }] of this.findReceived(now)?.snapshots ?? NO_SNAPSHOTS) {
      const control = this.controls.get(service) ?? new ServiceShares()
      putBounded(this.controls, service, control, MAX_SERVICES)
      if (!control.isOverloaded) control.adopt(snapshot)
    }
  }

  /**
   * Computes the shares at an aggregator. Where the hosts' counts can't have arrived yet, the last shares received continue: counts of a few
   * hosts would show no overload, and the shares computed from them would end it at all hosts of the zone.
   */
  private computeRegion (aggregatorSince: number, now: number): Map<number, AgedSnapshot> {
    const received = this.findReceived(now)
    const held = new Map([...(received?.snapshots ?? [])].map(([service, { snapshot, ageMs }]) => [service, { snapshot, ageMs: ageMs + now - (received?.receivedAt ?? now) }]))
    if (held.size > 0 && now - aggregatorSince < COUNTS_MS) return held
    const works = this.sumRegion(now)
    return new Map([...[...held].filter(([service]) => !works.has(service)), ...this.computeSnapshots(works, now)])
  }

  private computeSnapshots (works: ReadonlyMap<number, AgedWork>, now: number): Map<number, AgedSnapshot> {
    const snapshots = new Map<number, AgedSnapshot>()
    for (const [service, { work, ageMs }] of works) {
      const control = this.controls.get(service) ?? new ServiceShares()
      putBounded(this.controls, service, control, MAX_SERVICES)
      const snapshot = control.update(work, now)
      if (snapshot !== undefined) snapshots.set(service, { snapshot, ageMs })
    }
    return snapshots
  }

  private sumRegion (now: number): Map<number, AgedWork> {
    const latest = new Map<string, ReceivedWork>()
    // A zone has two aggregators that report the same sums; the later report counts.
    for (const each of this.zones.values()) if ((latest.get(each.availabilityZone)?.receivedAt ?? -Infinity) <= each.receivedAt) latest.set(each.availabilityZone, each)
    return sumReports([this.sumZone(now), ...listFresh(latest.values(), now)])
  }

  private sumZone (now: number): Map<number, AgedWork> {
    return sumReports([this.describeMeters(now, true), ...listFresh(this.hosts.values(), now)])
  }

  /** @param isComplete whether organisations and routes of services that turn nobody away are contained too */
  private describeMeters (now: number, isComplete: boolean): Map<number, AgedWork> {
    const overloaded = this.findSource(now)?.snapshots ?? NO_SNAPSHOTS
    return new Map([...this.meters].map(([hash, { meter }]) => {
      const work = meter.describe(now)
      const isNeeded = isComplete || overloaded.has(hash) || work.turnedAwayPerSecond >= QUIET_TURNED_AWAY_PER_SECOND
      return [hash, { ageMs: 0, work: isNeeded ? work : { ...work, organisations: new Map(), routes: new Map() } }]
    }))
  }

  private reportChanges (now: number): void {
    for (const { name } of this.meters.values()) {
      const aged = this.findSnapshot(name, now)
      const wasOverloaded = this.overloaded.has(name)
      if (aged === undefined) this.overloaded.delete(name)
      else this.overloaded.add(name)
      if (aged !== undefined || wasOverloaded) this.parts.handleSnapshot(name, aged, !wasOverloaded)
    }
  }

  private findOrCreateMeter (service: string): WorkMeter {
    const hash = computeHash(service)
    const known = this.meters.get(hash)
    if (known !== undefined) return known.meter
    const meter = new WorkMeter()
    putBounded(this.meters, hash, { name: service, meter }, MAX_SERVICES)
    return meter
  }
}

const limitOrganisations = ({ snapshot, ageMs }: AgedSnapshot, max: number): AgedSnapshot => ({ ageMs, snapshot: { ...snapshot, organisations: new Map([...snapshot.organisations].slice(0, max)) } })

const listFresh = (reports: Iterable<ReceivedWork>, now: number): Array<ReadonlyMap<number, AgedWork>> => [...reports]
  .filter(({ receivedAt }) => now - receivedAt <= WORK_LIFE_MS)
  .map(({ receivedAt, works }) => new Map([...works].filter(([, { ageMs }]) => ageMs <= SNAPSHOT_LIFE_MS).map(([service, { work, ageMs }]) => [service, { work, ageMs: ageMs + now - receivedAt }])))

const sumReports = (reports: ReadonlyArray<ReadonlyMap<number, AgedWork>>): Map<number, AgedWork> => {
  const services = new Set(reports.flatMap((report) => [...report.keys()]))
  return new Map([...services].map((service) => {
    const parts = reports.flatMap((report) => report.get(service) ?? [])
    return [service, { work: sumWork(parts.map(({ work }) => work)), ageMs: Math.max(...parts.map(({ ageMs }) => ageMs)) }]
  }))
}
