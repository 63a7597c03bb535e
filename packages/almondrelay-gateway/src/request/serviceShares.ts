import type { ClassWork } from './classWork.js'
import { computeFairShares } from './computeFairShares.js'
import type { FairShares } from './fairShares.js'
import type { OrganisationShare } from './organisationShare.js'
import type { OverloadSnapshot } from './overloadSnapshot.js'
import { OverloadState } from './overloadState.js'
import type { RouteShare } from './routeShare.js'
import { splitByPriority } from './splitByPriority.js'
import type { WorkSums } from './workSums.js'

/** Minimum of each route, as a part of the capacity. */
const ROUTE_MINIMUM = 0.05
/** Part of the requests for which targets have no room above which the known capacity is lowered, and below which it is raised. */
const HIGH_TURNED_AWAY_SHARE = 0.04
const LOW_TURNED_AWAY_SHARE = 0.02
/** Factors of one step, twice a second: raised slowly enough that targets' queues show each step before the next. */
const LOWER_FACTOR = 0.97
const RAISE_FACTOR = 1.03
/** Maximum of the known capacity as a multiple of the work sent, as what isn't used says nothing about more capacity. */
const MAX_UNUSED_FACTOR = 1.2
/**
 * Minimum of the known capacity as a part of the most work that targets took since overload began. The work sent follows the capacity down,
 * so that lowering it would otherwise have no end.
 */
const MIN_TAKEN_FACTOR = 0.5
/** Milliseconds for which the work sent is observed before shares are held, where none was sent when overload began: its rate is a mean over about that time. */
const LEARN_MS = 1_000
/** Factor by which more than the capacity must be admitted to count as shares that aren't in force yet. */
const EXCEEDED_FACTOR = 1.1
/** Exponents with which an organisation's fraction follows the ratio of share and use. The rates lag by two steps; unused capacity costs more. */
const RAISE_EXPONENT = 0.5
const LOWER_EXPONENT = 0.25
/** Maximum factor of one step: an organisation whose rank is served again has admitted nothing so far, which says nothing about its fraction. */
const MAX_CORRECTION_STEP = 1.3
/** Lowest fraction as a part of share divided by demand. Returning callers are admitted more often than others. */
const MIN_CORRECTION = 0.3
/** Maximum organisations in a snapshot, those that ask for most first; it bounds the bytes of a report. */
const MAX_ORGANISATIONS = 64

/**
 * Holds the shares of one service in a region by sums of the work that is asked for, and estimates the capacity from what the targets took.
 *
 * Load: demand of 1.3 times the capacity, bursts of one route, one organisation at seven times its usual. The capacity isn't known
 * beforehand: targets are at times slow, and other regions send to them too. It begins as the work that targets took when overload
 * began, and follows the requests for which targets have no room.
 */
export class ServiceShares {
  private readonly state = new OverloadState()
  private capacityMs = 0
  /** Most work a second that targets took since overload began; 0 while it isn't known. */
  private mostTakenMs = 0
  private takenSince: number | undefined
  /** Factors by which fractions differ from share divided by demand, by organisation. */
  private corrections = new Map<number, number>()

  get isOverloaded (): boolean {
    return this.state.isOverloaded
  }

  /** Applies new sums, twice a second; returns the snapshot for the hosts, or undefined outside of overload. */
  update (sums: WorkSums, now: number): OverloadSnapshot | undefined {
    if (!this.state.isOverloaded || this.mostTakenMs === 0) this.learnCapacity(sums, now)
    else this.followCapacity(sums)
    this.state.observe(sums, this.capacityMs, now)
    if (!this.state.isOverloaded) this.corrections = new Map()
    return this.state.isOverloaded && this.mostTakenMs > 0 ? this.describe(sums) : undefined
  }

  /** Continues with the shares that another host computed: without them, each restart of the host that computes them would end an overload. */
  adopt ({ capacityMs, shareMs, organisations }: OverloadSnapshot): void {
    this.state.adopt()
    this.capacityMs = capacityMs
    this.mostTakenMs = capacityMs
    this.corrections = new Map([...organisations].map(([hash, { fraction, askedMs }]) => [hash, fraction * askedMs / Math.max(1, shareMs)]))
  }

  /** Takes the work sent as the capacity: before overload, and during it until targets have taken work. */
  private learnCapacity ({ sentMs }: WorkSums, now: number): void {
    this.capacityMs = sentMs
    this.takenSince = sentMs > 0 ? this.takenSince ?? now : undefined
    this.mostTakenMs = this.takenSince !== undefined && now - this.takenSince >= LEARN_MS ? sentMs : 0
  }

  private followCapacity (sums: WorkSums): void {
    const { sentMs, requestsPerSecond, turnedAwayPerSecond } = sums
    const turnedAway = turnedAwayPerSecond / Math.max(1, requestsPerSecond)
    // While more is admitted than the shares allow, the shares aren't in force yet, and that explains the refusals.
    const isExceeded = sumAdmitted(sums) > this.capacityMs * EXCEEDED_FACTOR
    if (turnedAway > HIGH_TURNED_AWAY_SHARE) this.capacityMs = Math.max(sentMs, this.capacityMs * (isExceeded ? 1 : LOWER_FACTOR))
    else if (turnedAway < LOW_TURNED_AWAY_SHARE) this.capacityMs = Math.max(this.capacityMs, Math.min(this.capacityMs * RAISE_FACTOR, sentMs * MAX_UNUSED_FACTOR))
    this.mostTakenMs = Math.max(this.mostTakenMs, sentMs)
    this.capacityMs = Math.max(this.capacityMs, this.mostTakenMs * MIN_TAKEN_FACTOR)
  }

  private describe (sums: WorkSums): OverloadSnapshot {
    const floors = this.computeFloors(sums, computeFairShares(sums.organisations, this.capacityMs))
    const fair = computeFairShares(sums.organisations, this.capacityMs - floors.reservedMs)
    return { capacityMs: this.capacityMs, marginPriority: fair.marginPriority, shareMs: fair.shareMs, organisations: this.computeFractions(sums.organisations, fair), routes: floors.routes }
  }

  /** Returns the part of each route's requests that is admitted in any case, and the work that this takes from the shares. */
  private computeFloors ({ organisations, routes }: WorkSums, fair: FairShares): { routes: Map<number, RouteShare>, reservedMs: number } {
    const totalMs = Math.max(1, [...routes.values()].reduce((sum, { askedMs }) => sum + askedMs, 0))
    const servedFraction = computeServedFraction(organisations, fair)
    let reservedMs = 0
    const shares = new Map<number, RouteShare>()
    for (const [hash, { priority, askedMs }] of routes) {
      const sharedMs = askedMs * computeRouteFraction(routes, totalMs * servedFraction, priority)
      const missingMs = Math.max(0, Math.min(askedMs, this.capacityMs * ROUTE_MINIMUM) - sharedMs)
      reservedMs += missingMs
      shares.set(hash, { priority, mix: askedMs / totalMs, floorFraction: missingMs === 0 ? 0 : missingMs / (askedMs - sharedMs) })
    }
    return { routes: shares, reservedMs }
  }

  /**
   * Returns the fractions by which the use of the restricted organisations follows their shares. Callers that return as told are admitted
   * more often than others, and repeats less often, so share divided by demand alone would miss the share.
   */
  private computeFractions (organisations: ReadonlyMap<number, ClassWork>, { restricted, shareMs }: FairShares): Map<number, OrganisationShare> {
    const largestFirst = [...organisations].filter(([hash]) => restricted.has(hash)).sort(([, first], [, second]) => second.askedMs - first.askedMs).slice(0, MAX_ORGANISATIONS)
    const fractions = new Map<number, OrganisationShare>()
    const corrections = new Map<number, number>()
    for (const [hash, { askedMs, admittedMs }] of largestFirst) {
      const plain = shareMs / Math.max(1, askedMs)
      const previous = this.corrections.get(hash)
      const correction = previous === undefined ? 1 : Math.min(1 / plain, Math.max(MIN_CORRECTION, previous * Math.min(MAX_CORRECTION_STEP, (shareMs / Math.max(1, admittedMs)) ** (admittedMs < shareMs ? RAISE_EXPONENT : LOWER_EXPONENT))))
      corrections.set(hash, correction)
      fractions.set(hash, { fraction: Math.min(1, plain * correction), askedMs })
    }
    this.corrections = corrections
    return fractions
  }
}

const computeServedFraction = (organisations: ReadonlyMap<number, ClassWork>, { restricted, shareMs, marginPriority }: FairShares): number => {
  let askedMs = 0
  let servedMs = 0
  for (const [hash, work] of organisations) {
    askedMs += work.askedMs
    if (work.priority <= marginPriority) servedMs += restricted.has(hash) ? shareMs : work.askedMs
  }
  return askedMs === 0 ? 1 : servedMs / askedMs
}

/** Returns the part of a route's work that is served if the more urgent routes come first. */
const computeRouteFraction = (routes: ReadonlyMap<number, ClassWork>, servedMs: number, priority: number): number => {
  const { earlier, same } = splitByPriority(routes.values(), priority, ({ askedMs }) => askedMs)
  return Math.min(1, Math.max(0, (servedMs - earlier) / Math.max(1, same)))
}

const sumAdmitted = ({ organisations }: WorkSums): number => {
  let admittedMs = 0
  for (const work of organisations.values()) admittedMs += work.admittedMs
  return admittedMs
}
