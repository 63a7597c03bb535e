import { computeAdmittedShare } from '../../request/computeAdmittedShare.js'
import type { AllowanceInput } from '../../request/allowanceInput.js'
import type { AllowanceUsage } from '../../request/allowanceUsage.js'
import { OrganisationUsage } from '../../request/organisationUsage.js'
import type { UsageTotals } from '../../request/usageTotals.js'
import { computeHash } from '../../version/computeHash.js'
import type { Organisation } from '../../version/organisation.js'
import { putBounded } from '../../request/putBounded.js'
import type { AllowanceClaim } from './allowanceClaim.js'
import { sumZoneUsage } from './sumZoneUsage.js'
import type { FleetUsage } from './fleetUsage.js'
import type { UsageSnapshot } from './usageSnapshot.js'
import { UsageSnapshots } from './usageSnapshots.js'
import { PeerTotals } from './peerTotals.js'
import { SILENCE_MS } from './silenceMs.js'
import type { UsageReport } from './usageReport.js'
import type { ZoneUsage } from './zoneUsage.js'

/** Milliseconds after its start in which a host treats the usage of all hosts as known, as their first reports have yet to arrive. */
const STARTUP_GRACE_MS = 500
/** Milliseconds for which a host's own requests are not yet included in the reports that it receives from its zone's aggregators. */
const UNREPORTED_MS = 500
/**
 * Share of a zone's share of the limit from which on an organisation's usage is reported to the other zones. An organisation that no zone
 * reports is below this share of its limit in all zones together.
 */
const NEAR_LIMIT_SHARE = 0.9
/** Maximum zones kept. Anybody can send reports, so the map has to be bounded. */
const MAX_ZONES = 1_000

const NO_USAGE: AllowanceUsage = { letThrough: 0, leavingPerSecond: 0, askedPerSecond: 0 }
const NO_USAGE_BY_ORGANISATION: ReadonlyMap<number, AllowanceUsage> = new Map()

interface AllowanceParts {
  availabilityZone: string
  /** Length of the sliding window, in milliseconds; within one window an organisation may have its rate and its burst. */
  windowMs: number
  /** When the host started, in monotonic milliseconds. */
  startedAt: number
  /** Returns the number of hosts that may be admitting requests, including those from which no reports arrive. */
  countHosts: () => number
  /** Returns whether this host is an aggregator of its zone. */
  isAggregator: (now: number) => boolean
}

/**
 * Tracks, as far as this host knows, how much of the organisations' allowances all hosts together have used, and computes the share of
 * an organisation's requests that this host may admit.
 *
 * Each host reports its counts to the aggregators of its zone. An aggregator reports the zone's sum to the aggregators of the other
 * zones and the sum of all zones to the hosts of its own zone. The traffic of a host therefore grows with the number of zones and of
 * hosts in its zone, not with the number of all hosts, and nothing of it is written to the platform's store.
 */
export class Allowances {
  private readonly limits = new Map<number, number>()
  private readonly rates = new Map<number, number>()
  private readonly counters = new Map<number, OrganisationUsage>()
  private readonly peers = new PeerTotals()
  private readonly zones = new Map<string, UsageSnapshots>()
  private readonly fleet = new UsageSnapshots()
  /** Time since which this host has been an aggregator of its zone; undefined while it is none. */
  private aggregatorSince: number | undefined
  private changed = new Set<number>()
  private previouslyChanged = new Set<number>()

  constructor (private readonly parts: AllowanceParts) {}

  /** Whether any organisation has a limit. */
  get hasLimits (): boolean {
    return this.limits.size > 0
  }

  /** Applies the limits of a configuration. Usage that was already counted is kept for organisations that still have a limit. */
  setOrganisations (organisations: readonly Organisation[]): void {
    this.limits.clear()
    for (const { name, ratePerSecond, burst } of organisations) {
      if (ratePerSecond === 0) continue
      this.limits.set(computeHash(name), ratePerSecond * this.parts.windowMs / 1_000 + burst)
      this.rates.set(computeHash(name), ratePerSecond)
    }
    for (const hash of this.counters.keys()) if (!this.limits.has(hash)) this.counters.delete(hash)
  }

  /** Counts an incoming request and returns a claim with the share of the organisation's requests that this host admits at present. */
  claim (name: string, now: number): AllowanceClaim {
    const organisation = computeHash(name)
    const limit = this.limits.get(organisation)
    if (limit === undefined) return { allowedPart: 1, organisation, use: undefined }
    const use = this.findOrCreateCounter(organisation)
    use.observeRequest(now)
    this.changed.add(organisation)
    return { allowedPart: computeAdmittedShare(this.buildInput(organisation, limit, use, now)), organisation, use }
  }

  /** Counts the request as admitted. */
  observeAdmitted ({ use }: AllowanceClaim, now: number): void {
    use?.observeAdmission(now)
  }

  /** Takes an admitted request off the counts again, as it was not run and won't be. */
  releaseClaim ({ use, organisation }: AllowanceClaim, admittedAt: number, now: number): void {
    use?.releaseAdmission(admittedAt, now)
    this.changed.add(organisation)
  }

  /** Returns the totals that changed since the last but one report. Each change is reported twice, because datagrams may be lost. */
  takeChangedTotals (): Map<number, UsageTotals> {
    const totals = new Map<number, UsageTotals>()
    for (const hash of new Set([...this.changed, ...this.previouslyChanged])) {
      const counter = this.counters.get(hash)
      if (counter !== undefined) totals.set(hash, counter.totals)
    }
    this.previouslyChanged = this.changed
    this.changed = new Set()
    return totals
  }

  /** Applies a report: counts from hosts of this zone, fleet usage from this zone's aggregators, zone usage from those of other zones. */
  receiveReport (report: UsageReport, now: number): void {
    const { availabilityZone, zone, fleet } = report
    if (availabilityZone === this.parts.availabilityZone) {
      for (const [hash, increase] of this.peers.receiveReport(report, now)) if (this.limits.has(hash)) this.findOrCreateCounter(hash).receivePeerIncrease(increase, now)
      if (fleet !== undefined) this.fleet.receive(report.host, fleet, now)
    } else if (zone !== undefined) this.findOrCreateZone(availabilityZone).receive(report.host, zone, now)
  }

  /** Returns the usage in this zone that is reported to the other zones. */
  describeZone (now: number): ZoneUsage {
    const usageByOrganisation = new Map<number, AllowanceUsage>()
    const hosts = this.countZoneHosts(now)
    const nearLimit = this.findNearLimit(now)
    for (const [hash, counter] of this.counters) {
      const limit = this.limits.get(hash) ?? Infinity
      const known = counter.estimateZoneUsage(now)
      if (nearLimit.has(hash) || this.isNearLimit(known, limit, hosts)) usageByOrganisation.set(hash, known)
    }
    return { hosts, unseenMs: this.computeUnseenMs(now), usageByOrganisation }
  }

  /**
   * Returns the usage in all zones that is reported to the hosts of this zone.
   *
   * @param zone this zone's usage, as it is reported to the other zones now
   */
  describeFleet (zone: ZoneUsage, now: number): FleetUsage {
    return sumZoneUsage([{ use: zone, ageMs: 0 }, ...this.listRecentSnapshots(now)], this.findRate)
  }

  private buildInput (hash: number, limit: number, counter: OrganisationUsage, now: number): AllowanceInput {
    const { hosts, unseenMs, usageByOrganisation } = this.computeFleetUsage(counter, hash, now)
    const { letThrough: used, leavingPerSecond, askedPerSecond } = usageByOrganisation.get(hash) ?? NO_USAGE
    // Requests may have been admitted at the full rate before this host received reports: when all hosts restart at the peak of a
    // surge, none knows the requests that it admitted before and that are still in the window. They are assumed to leave the window at
    // the same rate.
    const rate = this.rates.get(hash) ?? 0
    const unseenRequests = rate * unseenMs / 1_000
    return { limit: limit - unseenRequests, admitted: used, leavingPerSecond: leavingPerSecond + rate * unseenMs / this.parts.windowMs, askedPerSecond, knownHostShare: this.computeReach(hosts, now) }
  }

  /**
   * Returns the usage of one organisation in all zones: an aggregator's last report plus the requests since, or else the sum that this
   * host computes itself.
   */
  private computeFleetUsage (counter: OrganisationUsage, hash: number, now: number): FleetUsage {
    const reported = this.fleet.find(now)
    const unseenMs = this.computeUnseenMs(now)
    const isAggregator = this.parts.isAggregator(now)
    if (reported !== undefined && (!isAggregator || reported.use.unseenMs < unseenMs)) return this.addUsageSinceReport(pickOrganisation(reported, hash), hash, counter.countOwnAdmitted(now, UNREPORTED_MS))
    if (isAggregator) return sumZoneUsage([{ use: { hosts: this.countZoneHosts(now), unseenMs, usageByOrganisation: new Map([[hash, counter.estimateZoneUsage(now)]]) }, ageMs: 0 }, ...this.listRecentSnapshots(now).map((snapshot) => pickOrganisation(snapshot, hash))], this.findRate)
    return { hosts: 1, unseenMs, usageByOrganisation: new Map([[hash, { ...counter.estimateZoneUsage(now), letThrough: counter.countOwnAdmitted(now, this.parts.windowMs), leavingPerSecond: 0 }]]) }
  }

  /**
   * Adds to a reported usage an estimate of the requests that all hosts have admitted since, or the requests that this host alone has
   * admitted and that the report doesn't include yet, if they are more.
   */
  private addUsageSinceReport (reported: UsageSnapshot, hash: number, unreportedRequests: number): FleetUsage {
    const current = sumZoneUsage([reported], this.findRate)
    const known = current.usageByOrganisation.get(hash)
    if (known === undefined) return current
    const letThrough = Math.max(known.letThrough, (reported.use.usageByOrganisation.get(hash)?.letThrough ?? 0) + unreportedRequests)
    return { ...current, usageByOrganisation: new Map([[hash, { ...known, letThrough }]]) }
  }

  private readonly findRate = (hash: number): number => (this.limits.get(hash) ?? Infinity) / this.parts.windowMs * 1_000

  /**
   * Returns the milliseconds of the window in which this host didn't receive reports from the hosts whose usage it sums up. A host that
   * becomes an aggregator because earlier ones have exited knew only its own requests until then. By its sum alone, the zone's share of
   * the window would be admitted a second time.
   */
  private computeUnseenMs (now: number): number {
    if (!this.parts.isAggregator(now)) this.aggregatorSince = undefined
    else this.aggregatorSince ??= this.hasPossiblePredecessors(now) ? now : this.parts.startedAt
    return Math.max(0, this.parts.windowMs - (now - (this.aggregatorSince ?? this.parts.startedAt)))
  }

  /** Returns whether this host has run long enough that other hosts may have been the aggregators of its zone before. */
  private hasPossiblePredecessors (now: number): boolean {
    return now - this.parts.startedAt > SILENCE_MS
  }

  /** Returns the share of all hosts whose requests this host knows. */
  private computeReach (hosts: number, now: number): number {
    if (now - this.parts.startedAt < STARTUP_GRACE_MS) return 1
    return Math.min(1, hosts / Math.max(1, this.parts.countHosts()))
  }

  private countZoneHosts (now: number): number {
    return 1 + this.peers.countRecentPeers(now, SILENCE_MS)
  }

  private listRecentSnapshots (now: number): UsageSnapshot[] {
    return [...this.zones.values()].flatMap((snapshots) => snapshots.find(now) ?? [])
  }

  private findOrCreateZone (availabilityZone: string): UsageSnapshots {
    const known = this.zones.get(availabilityZone)
    if (known !== undefined) return known
    const snapshots = new UsageSnapshots()
    putBounded(this.zones, availabilityZone, snapshots, MAX_ZONES)
    return snapshots
  }

  /** Finds the organisations that another zone reports as near their limit. All zones then report their usage of these organisations. */
  private findNearLimit (now: number): Set<number> {
    const nearLimit = new Set<number>()
    for (const { use: { hosts, usageByOrganisation } } of this.listRecentSnapshots(now)) {
      for (const [hash, known] of usageByOrganisation) if (this.isNearLimit(known, this.limits.get(hash) ?? Infinity, hosts)) nearLimit.add(hash)
    }
    return nearLimit
  }

  /** Returns whether usage at some hosts is, or by its rate will be, at least NEAR_LIMIT_SHARE of these hosts' share of the limit. */
  private isNearLimit ({ letThrough, askedPerSecond }: AllowanceUsage, limit: number, hosts: number): boolean {
    const expected = Math.max(letThrough, askedPerSecond * this.parts.windowMs / 1_000)
    return expected >= limit * NEAR_LIMIT_SHARE * hosts / Math.max(hosts, this.parts.countHosts())
  }

  /** Returns the counter of an organisation's requests at this host and at the other hosts of its zone. */
  private findOrCreateCounter (hash: number): OrganisationUsage {
    const known = this.counters.get(hash)
    if (known !== undefined) return known
    const counter = new OrganisationUsage(this.parts.windowMs)
    this.counters.set(hash, counter)
    return counter
  }
}

/** Returns a snapshot that contains one organisation only: each request needs a single one, and snapshots contain many. */
const pickOrganisation = ({ use, ageMs }: UsageSnapshot, hash: number): UsageSnapshot => {
  const known = use.usageByOrganisation.get(hash)
  return { use: { ...use, usageByOrganisation: known === undefined ? NO_USAGE_BY_ORGANISATION : new Map([[hash, known]]) }, ageMs }
}
