import { computeAdmittedShare } from '../../request/computeAdmittedShare.js'
import type { AllowanceInput } from '../../request/allowanceInput.js'
import type { AllowanceUsage } from '../../request/allowanceUsage.js'
import { OrganisationUsage } from '../../request/organisationUsage.js'
import type { UsageTotals } from '../../request/usageTotals.js'
import { computeHash } from '../../version/computeHash.js'
import type { Organisation } from '../../version/organisation.js'
import { putBounded } from '../../request/putBounded.js'
import type { AllowanceClaim } from './allowanceClaim.js'
import { addZones } from './addZones.js'
import type { FleetUse } from './fleetUse.js'
import type { HeardUse } from './heardUse.js'
import { HeardUses } from './heardUses.js'
import { PeerTotals } from './peerTotals.js'
import { SILENCE_MS } from './silenceMs.js'
import type { UseReport } from './useReport.js'
import type { ZoneUse } from './zoneUse.js'

/** Milliseconds after its start in which a host treats the usage of all hosts as known, as their first reports have yet to arrive. */
const FIRST_WORDS_MS = 500
/** Milliseconds for which a host's own requests are not yet included in the reports that it receives from its zone's aggregators. */
const UNTOLD_MS = 500
/**
 * Share of a zone's share of the limit from which on an organisation's usage is reported to the other zones. An organisation that no zone
 * reports is below this share of its limit in all zones together.
 */
const NAMED_PART = 0.9
/** Maximum zones kept. Anybody can send reports, so the map has to be bounded. */
const MOST_ZONES = 1_000

const NOTHING_USED: AllowanceUsage = { letThrough: 0, leavingPerSecond: 0, askedPerSecond: 0 }
const NO_USES: ReadonlyMap<number, AllowanceUsage> = new Map()

interface AllowanceParts {
  availabilityZone: string
  /** Length of the sliding window, in milliseconds; within one window an organisation may have its rate and its burst. */
  windowMs: number
  /** When the host started, in monotonic milliseconds. */
  startedAt: number
  /** Returns the number of hosts that may be admitting requests, including those from which no reports arrive. */
  countHosts: () => number
  /** Returns whether this host is an aggregator of its zone. */
  isSumming: (now: number) => boolean
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
  private readonly uses = new Map<number, OrganisationUsage>()
  private readonly peers = new PeerTotals()
  private readonly zones = new Map<string, HeardUses>()
  private readonly fleet = new HeardUses()
  /** Time since which this host has been an aggregator of its zone; undefined while it is none. */
  private summingSince: number | undefined
  private changed = new Set<number>()
  private changedBefore = new Set<number>()

  constructor (private readonly parts: AllowanceParts) {}

  /** Whether any organisation has a limit. */
  get areNeeded (): boolean {
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
    for (const hash of this.uses.keys()) if (!this.limits.has(hash)) this.uses.delete(hash)
  }

  /** Counts an incoming request and returns a claim with the share of the organisation's requests that this host admits at present. */
  ask (name: string, now: number): AllowanceClaim {
    const organisation = computeHash(name)
    const limit = this.limits.get(organisation)
    if (limit === undefined) return { allowedPart: 1, organisation, use: undefined }
    const use = this.findUse(organisation)
    use.observeRequest(now)
    this.changed.add(organisation)
    return { allowedPart: computeAdmittedShare(this.describe(organisation, limit, use, now)), organisation, use }
  }

  /** Counts the request as admitted. */
  observeLetThrough ({ use }: AllowanceClaim, now: number): void {
    use?.observeAdmission(now)
  }

  /** Takes an admitted request off the counts again, as it was not run and won't be. */
  releaseUse ({ use, organisation }: AllowanceClaim, letThroughAt: number, now: number): void {
    use?.releaseAdmission(letThroughAt, now)
    this.changed.add(organisation)
  }

  /** Returns the totals that changed since the last but one report. Each change is reported twice, because datagrams may be lost. */
  takeTotals (): Map<number, UsageTotals> {
    const totals = new Map<number, UsageTotals>()
    for (const hash of new Set([...this.changed, ...this.changedBefore])) {
      const use = this.uses.get(hash)
      if (use !== undefined) totals.set(hash, use.totals)
    }
    this.changedBefore = this.changed
    this.changed = new Set()
    return totals
  }

  /** Applies a report: counts from hosts of this zone, fleet usage from this zone's aggregators, zone usage from those of other zones. */
  hear (report: UseReport, now: number): void {
    const { availabilityZone, zone, fleet } = report
    if (availabilityZone === this.parts.availabilityZone) {
      for (const [hash, increase] of this.peers.hear(report, now)) if (this.limits.has(hash)) this.findUse(hash).receivePeerIncrease(increase, now)
      if (fleet !== undefined) this.fleet.hear(report.host, fleet, now)
    } else if (zone !== undefined) this.findZone(availabilityZone).hear(report.host, zone, now)
  }

  /** Returns the usage in this zone that is reported to the other zones. */
  describeZone (now: number): ZoneUse {
    const uses = new Map<number, AllowanceUsage>()
    const hosts = this.countZoneHosts(now)
    const named = this.findNamed(now)
    for (const [hash, use] of this.uses) {
      const limit = this.limits.get(hash) ?? Infinity
      const known = use.estimateZoneUsage(now)
      if (named.has(hash) || this.isNear(known, limit, hosts)) uses.set(hash, known)
    }
    return { hosts, unseenMs: this.computeUnseen(now), uses }
  }

  /**
   * Returns the usage in all zones that is reported to the hosts of this zone.
   *
   * @param zone this zone's usage, as it is reported to the other zones now
   */
  describeFleet (zone: ZoneUse, now: number): FleetUse {
    return addZones([{ use: zone, ageMs: 0 }, ...this.listFresh(now)], this.findRate)
  }

  private describe (hash: number, limit: number, own: OrganisationUsage, now: number): AllowanceInput {
    const { hosts, unseenMs, uses } = this.findFleet(own, hash, now)
    const { letThrough: used, leavingPerSecond, askedPerSecond } = uses.get(hash) ?? NOTHING_USED
    // Requests may have been admitted at the full rate before this host received reports: when all hosts restart at the peak of a
    // surge, none knows the requests that it admitted before and that are still in the window. They are assumed to leave the window at
    // the same rate.
    const rate = this.rates.get(hash) ?? 0
    const unseen = rate * unseenMs / 1_000
    return { limit: limit - unseen, admitted: used, leavingPerSecond: leavingPerSecond + rate * unseenMs / this.parts.windowMs, askedPerSecond, knownHostShare: this.computeReach(hosts, now) }
  }

  /**
   * Returns the usage of one organisation in all zones: an aggregator's last report plus the requests since, or else the sum that this
   * host computes itself.
   */
  private findFleet (own: OrganisationUsage, hash: number, now: number): FleetUse {
    const told = this.fleet.find(now)
    const unseenMs = this.computeUnseen(now)
    const isSumming = this.parts.isSumming(now)
    if (told !== undefined && (!isSumming || told.use.unseenMs < unseenMs)) return this.addSinceTold(pickOne(told, hash), hash, own.countOwnAdmitted(now, UNTOLD_MS))
    if (isSumming) return addZones([{ use: { hosts: this.countZoneHosts(now), unseenMs, uses: new Map([[hash, own.estimateZoneUsage(now)]]) }, ageMs: 0 }, ...this.listFresh(now).map((heard) => pickOne(heard, hash))], this.findRate)
    return { hosts: 1, unseenMs, uses: new Map([[hash, { ...own.estimateZoneUsage(now), letThrough: own.countOwnAdmitted(now, this.parts.windowMs), leavingPerSecond: 0 }]]) }
  }

  /**
   * Adds to a reported usage an estimate of the requests that all hosts have admitted since, or the requests that this host alone has
   * admitted and that the report doesn't include yet, if they are more.
   */
  private addSinceTold (told: HeardUse, hash: number, untold: number): FleetUse {
    const present = addZones([told], this.findRate)
    const known = present.uses.get(hash)
    if (known === undefined) return present
    const letThrough = Math.max(known.letThrough, (told.use.uses.get(hash)?.letThrough ?? 0) + untold)
    return { ...present, uses: new Map([[hash, { ...known, letThrough }]]) }
  }

  private readonly findRate = (hash: number): number => (this.limits.get(hash) ?? Infinity) / this.parts.windowMs * 1_000

  /**
   * Returns the milliseconds of the window in which this host didn't receive reports from the hosts whose usage it sums up. A host that
   * becomes an aggregator because earlier ones have exited knew only its own requests until then. By its sum alone, the zone's share of
   * the window would be admitted a second time.
   */
  private computeUnseen (now: number): number {
    if (!this.parts.isSumming(now)) this.summingSince = undefined
    else this.summingSince ??= this.hasBegun(now) ? now : this.parts.startedAt
    return Math.max(0, this.parts.windowMs - (now - (this.summingSince ?? this.parts.startedAt)))
  }

  /** Returns whether this host has run long enough that other hosts may have been the aggregators of its zone before. */
  private hasBegun (now: number): boolean {
    return now - this.parts.startedAt > SILENCE_MS
  }

  /** Returns the share of all hosts whose requests this host knows. */
  private computeReach (hosts: number, now: number): number {
    if (now - this.parts.startedAt < FIRST_WORDS_MS) return 1
    return Math.min(1, hosts / Math.max(1, this.parts.countHosts()))
  }

  private countZoneHosts (now: number): number {
    return 1 + this.peers.countHeard(now, SILENCE_MS)
  }

  private listFresh (now: number): HeardUse[] {
    return [...this.zones.values()].flatMap((heard) => heard.find(now) ?? [])
  }

  private findZone (availabilityZone: string): HeardUses {
    const known = this.zones.get(availabilityZone)
    if (known !== undefined) return known
    const heard = new HeardUses()
    putBounded(this.zones, availabilityZone, heard, MOST_ZONES)
    return heard
  }

  /** Finds the organisations that another zone reports as near their limit. All zones then report their usage of these organisations. */
  private findNamed (now: number): Set<number> {
    const named = new Set<number>()
    for (const { use: { hosts, uses } } of this.listFresh(now)) {
      for (const [hash, known] of uses) if (this.isNear(known, this.limits.get(hash) ?? Infinity, hosts)) named.add(hash)
    }
    return named
  }

  /** Returns whether usage at some hosts is, or by its rate will be, at least NEAR_LIMIT_SHARE of these hosts' share of the limit. */
  private isNear ({ letThrough, askedPerSecond }: AllowanceUsage, limit: number, hosts: number): boolean {
    const soon = Math.max(letThrough, askedPerSecond * this.parts.windowMs / 1_000)
    return soon >= limit * NAMED_PART * hosts / Math.max(hosts, this.parts.countHosts())
  }

  /** Returns the counter of an organisation's requests at this host and at the other hosts of its zone. */
  private findUse (hash: number): OrganisationUsage {
    const known = this.uses.get(hash)
    if (known !== undefined) return known
    const use = new OrganisationUsage(this.parts.windowMs)
    this.uses.set(hash, use)
    return use
  }
}

/** Returns a snapshot that contains one organisation only: each request needs a single one, and snapshots contain many. */
const pickOne = ({ use, ageMs }: HeardUse, hash: number): HeardUse => {
  const known = use.uses.get(hash)
  return { use: { ...use, uses: known === undefined ? NO_USES : new Map([[hash, known]]) }, ageMs }
}
