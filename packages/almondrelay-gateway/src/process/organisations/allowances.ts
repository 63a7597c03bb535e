import { computeAllowedPart } from '../../request/computeAllowedPart.js'
import type { AllowanceInput } from '../../request/allowanceInput.js'
import type { KnownUse } from '../../request/knownUse.js'
import { OrganisationUse } from '../../request/organisationUse.js'
import type { UseTotals } from '../../request/useTotals.js'
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

/** Milliseconds after its start in which a host takes those that it hasn't heard yet for reached: their first words are on their way. */
const FIRST_WORDS_MS = 500
/** Milliseconds of a host's own requests that are not yet in what the zone's summing hosts tell it. */
const UNTOLD_MS = 500
/**
 * Part of its zone's part of the limit from which on an organisation is named to the other zones. Those that no zone names
 * are below this part of the limit in all.
 */
const NAMED_PART = 0.9
/** Zones that are remembered: anybody may send reports. */
const MOST_ZONES = 1_000

const NOTHING_USED: KnownUse = { letThrough: 0, leavingPerSecond: 0, askedPerSecond: 0 }
const NO_USES: ReadonlyMap<number, KnownUse> = new Map()

interface AllowanceParts {
  availabilityZone: string
  /** Window in which an organisation may have its rate and its burst, in milliseconds. */
  windowMs: number
  /** When the host started, in monotonic milliseconds. */
  startedAt: number
  /** Hosts that may let requests through, those too that aren't heard. */
  countHosts: () => number
  /** Whether this host sums up the requests of its zone. */
  isSumming: (now: number) => boolean
}

/**
 * How much of its organisations' allowances all hosts together have used, as this host knows it.
 *
 * Each host tells the summing hosts of its zone what came to it; these tell those of the other zones what came to the zone, and
 * their own zone's hosts what came to all. So what a host sends and reads grows with the zones and with the hosts of its own
 * zone, not with all hosts, and nothing about it stands in the platform's store.
 */
export class Allowances {
  private readonly limits = new Map<number, number>()
  private readonly rates = new Map<number, number>()
  private readonly uses = new Map<number, OrganisationUse>()
  private readonly peers = new PeerTotals()
  private readonly zones = new Map<string, HeardUses>()
  private readonly fleet = new HeardUses()
  /** Since when this host sums up for its zone; undefined while it doesn't. */
  private summingSince: number | undefined
  private changed = new Set<number>()
  private changedBefore = new Set<number>()

  constructor (private readonly parts: AllowanceParts) {}

  /** Whether any organisation has a limit. */
  get areNeeded (): boolean {
    return this.limits.size > 0
  }

  /** Puts the limits of a configuration in force; what was used stays used. */
  setOrganisations (organisations: readonly Organisation[]): void {
    this.limits.clear()
    for (const { name, ratePerSecond, burst } of organisations) {
      if (ratePerSecond === 0) continue
      this.limits.set(computeHash(name), ratePerSecond * this.parts.windowMs / 1_000 + burst)
      this.rates.set(computeHash(name), ratePerSecond)
    }
    for (const hash of this.uses.keys()) if (!this.limits.has(hash)) this.uses.delete(hash)
  }

  /** Counts a request that was asked for, and says what part of such requests this host lets through now. */
  ask (name: string, now: number): AllowanceClaim {
    const organisation = computeHash(name)
    const limit = this.limits.get(organisation)
    if (limit === undefined) return { allowedPart: 1, organisation, use: undefined }
    const use = this.findUse(organisation)
    use.observeAsked(now)
    this.changed.add(organisation)
    return { allowedPart: computeAllowedPart(this.describe(organisation, limit, use, now)), organisation, use }
  }

  observeLetThrough ({ use }: AllowanceClaim, now: number): void {
    use?.observeLetThrough(now)
  }

  /** A request that was let through wasn't run and won't be. */
  releaseUse ({ use, organisation }: AllowanceClaim, letThroughAt: number, now: number): void {
    use?.releaseUse(letThroughAt, now)
    this.changed.add(organisation)
  }

  /** What changed here since the report before the last one: each change is told twice, as datagrams are lost. */
  takeTotals (): Map<number, UseTotals> {
    const totals = new Map<number, UseTotals>()
    for (const hash of new Set([...this.changed, ...this.changedBefore])) {
      const use = this.uses.get(hash)
      if (use !== undefined) totals.set(hash, use.totals)
    }
    this.changedBefore = this.changed
    this.changed = new Set()
    return totals
  }

  hear (report: UseReport, now: number): void {
    const { availabilityZone, zone, fleet } = report
    if (availabilityZone === this.parts.availabilityZone) {
      for (const [hash, increase] of this.peers.hear(report, now)) if (this.limits.has(hash)) this.findUse(hash).hearPeer(increase, now)
      if (fleet !== undefined) this.fleet.hear(report.host, fleet, now)
    } else if (zone !== undefined) this.findZone(availabilityZone).hear(report.host, zone, now)
  }

  /** What the other zones are told of this one. */
  describeZone (now: number): ZoneUse {
    const uses = new Map<number, KnownUse>()
    const hosts = this.countZoneHosts(now)
    const named = this.findNamed(now)
    for (const [hash, use] of this.uses) {
      const limit = this.limits.get(hash) ?? Infinity
      const known = use.describeZone(now)
      if (named.has(hash) || this.isNear(known, limit, hosts)) uses.set(hash, known)
    }
    return { hosts, unseenMs: this.computeUnseen(now), uses }
  }

  /**
   * What this zone's hosts are told of all zones.
   *
   * @param zone what the other zones are told of this one now
   */
  describeFleet (zone: ZoneUse, now: number): FleetUse {
    return addZones([{ use: zone, ageMs: 0 }, ...this.listFresh(now)], this.findRate)
  }

  private describe (hash: number, limit: number, own: OrganisationUse, now: number): AllowanceInput {
    const { hosts, unseenMs, uses } = this.findFleet(own, hash, now)
    const { letThrough: used, leavingPerSecond, askedPerSecond } = uses.get(hash) ?? NOTHING_USED
    // As much as the rate may have been let through before anybody listened: hosts that are all started anew at the height of a
    // rush know nothing of what they let through before, and the window still holds it.
    // It leaves the window by its rate, as what was seen does.
    const rate = this.rates.get(hash) ?? 0
    const unseen = rate * unseenMs / 1_000
    return { limit: limit - unseen, used, leavingPerSecond: leavingPerSecond + rate * unseenMs / this.parts.windowMs, askedPerSecond, reach: this.computeReach(hosts, now) }
  }

  /** What is known of one organisation in all zones: what a summing host told, with what came since, or else this host's own sum. */
  private findFleet (own: OrganisationUse, hash: number, now: number): FleetUse {
    const told = this.fleet.find(now)
    const unseenMs = this.computeUnseen(now)
    const isSumming = this.parts.isSumming(now)
    if (told !== undefined && (!isSumming || told.use.unseenMs < unseenMs)) return this.addSinceTold(pickOne(told, hash), hash, own.countOwn(now, UNTOLD_MS))
    if (isSumming) return addZones([{ use: { hosts: this.countZoneHosts(now), unseenMs, uses: new Map([[hash, own.describeZone(now)]]) }, ageMs: 0 }, ...this.listFresh(now).map((heard) => pickOne(heard, hash))], this.findRate)
    return { hosts: 1, unseenMs, uses: new Map([[hash, { ...own.describeZone(now), letThrough: own.countOwn(now, this.parts.windowMs), leavingPerSecond: 0 }]]) }
  }

  /** What was told, with what all have let through since by their rate, or this host alone where that is more. */
  private addSinceTold (told: HeardUse, hash: number, untold: number): FleetUse {
    const present = addZones([told], this.findRate)
    const known = present.uses.get(hash)
    if (known === undefined) return present
    const letThrough = Math.max(known.letThrough, (told.use.uses.get(hash)?.letThrough ?? 0) + untold)
    return { ...present, uses: new Map([[hash, { ...known, letThrough }]]) }
  }

  private readonly findRate = (hash: number): number => (this.limits.get(hash) ?? Infinity) / this.parts.windowMs * 1_000

  /**
   * Milliseconds of the window in which this host didn't listen to those whose requests it tells of. One that comes to sum up, as
   * those before it have ended, has heard only of its own until then; its sum alone would let the zone's part of the window through
   * a second time.
   */
  private computeUnseen (now: number): number {
    if (!this.parts.isSumming(now)) this.summingSince = undefined
    else this.summingSince ??= this.hasBegun(now) ? now : this.parts.startedAt
    return Math.max(0, this.parts.windowMs - (now - (this.summingSince ?? this.parts.startedAt)))
  }

  /** Whether this host has run for so long that others may have summed up for its zone before. */
  private hasBegun (now: number): boolean {
    return now - this.parts.startedAt > SILENCE_MS
  }

  /** Part of all hosts of whose requests this one knows. */
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

  /** Organisations that another zone names as near their limit: all zones then tell what they have of them. */
  private findNamed (now: number): Set<number> {
    const named = new Set<number>()
    for (const { use: { hosts, uses } } of this.listFresh(now)) {
      for (const [hash, known] of uses) if (this.isNear(known, this.limits.get(hash) ?? Infinity, hosts)) named.add(hash)
    }
    return named
  }

  /** Whether some hosts have more of an organisation's requests than their part of what is far below its limit. */
  private isNear ({ letThrough, askedPerSecond }: KnownUse, limit: number, hosts: number): boolean {
    const soon = Math.max(letThrough, askedPerSecond * this.parts.windowMs / 1_000)
    return soon >= limit * NAMED_PART * hosts / Math.max(hosts, this.parts.countHosts())
  }

  private findUse (hash: number): OrganisationUse {
    const known = this.uses.get(hash)
    if (known !== undefined) return known
    const use = new OrganisationUse(this.parts.windowMs)
    this.uses.set(hash, use)
    return use
  }
}

/** A word on one organisation alone: each request asks for one, and words name many. */
const pickOne = ({ use, ageMs }: HeardUse, hash: number): HeardUse => {
  const known = use.uses.get(hash)
  return { use: { ...use, uses: known === undefined ? NO_USES : new Map([[hash, known]]) }, ageMs }
}
