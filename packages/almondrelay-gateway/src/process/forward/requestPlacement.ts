import type { TargetPool } from '../../connection/targetPool.js'
import type { AttemptResult } from '../../request/attemptResult.js'
import type { CallerRequest } from '../../request/callerRequest.js'
import type { ChoiceContext } from '../../request/choiceContext.js'
import { computeCopyDelay } from '../../request/computeCopyDelay.js'
import { CopyDecision } from '../../request/copyDecision.js'
import { decideCopy } from '../../request/decideCopy.js'
import { chooseTarget } from '../../request/chooseTarget.js'
import { FIRST_FAILURE_STATUS } from '../../request/firstFailureStatus.js'
import { observeWork } from '../../request/observeWork.js'
import type { TargetChoice } from '../../request/targetChoice.js'
import type { TargetAnswerHead } from '../../request/targetAnswerHead.js'
import type { TargetState } from '../../request/targetState.js'
import { identifyCaller } from '../../version/identifyCaller.js'
import { isAllowedRegion } from '../../version/isAllowedRegion.js'
import type { Route } from '../../version/route.js'
import type { Attempt } from './attempt.js'
import type { ForwardState } from './forwardState.js'
import type { ServiceRuntime } from './serviceRuntime.js'
import type { RequestRecord } from './requestRecord.js'

/** Share of the retry allowance that copies leave to requests whose attempts fail. */
const RESERVED_RETRY_SHARE = 1 / 3

/** Chooses targets for one request from its service, its key and the state of the targets, and records the results of its attempts. */
export class RequestPlacement {
  readonly homeRegion: string

  /** @param usesWarmingTarget whether the request goes to its key's preferred target although that target is warming up */
  constructor (private readonly state: ForwardState, private readonly runtime: ServiceRuntime, private readonly keyHash: number, allowedRegions: readonly string[], private readonly isWarmUpRequest: boolean) {
    const plannedRegion = runtime.regionShares.findHomeRegion(keyHash)
    this.homeRegion = isAllowedRegion(plannedRegion, allowedRegions) ? plannedRegion : allowedRegions[keyHash % allowedRegions.length] as string
  }

  get service (): string {
    return this.runtime.name
  }

  /** Returns the era and the ages of the state that choices are based on. */
  describeKnownState (now: number): Pick<RequestRecord, 'storeEra' | 'storeAgeMs' | 'peerAgeMs'> {
    return this.state.describeKnownState(now)
  }

  choose (request: CallerRequest, triedIds: ReadonlySet<string>, now: number): TargetChoice | undefined {
    const { fleet, roundTripTimes } = this.state
    const { targetLatencyMs } = request.route
    const times = this.runtime.findTimes(request.route.name)
    const isRegionOpen = this.findOpenRegions(request.allowedRegions)
    const targets = fleet.listTargets(this.service)
    const context: ChoiceContext = {
      now,
      keyHash: this.keyHash,
      homeRegion: this.homeRegion,
      findRoundTripMs: (region) => roundTripTimes.find(region),
      warmMs: times.getWarmMs(targetLatencyMs),
      coldMs: times.getColdMs(targetLatencyMs),
      meanMs: this.runtime.times.getMeanMs(targetLatencyMs),
      targetLatencyMs,
      isEligible: (target) => !triedIds.has(target.entry.id) && isRegionOpen(target.entry.region) && !this.state.isClosed(target) && this.isReachable(target, request.allowedRegions, now),
      allowCold: (target) => this.state.allowCold(target, now),
      allowSend: (target) => this.state.sendLimiter.allow(target, now),
      isLimited: (target) => this.state.sendLimiter.isLimited(target, now),
      isWarmUpRequest: this.isWarmUpRequest,
      canSpill: this.declared?.spill !== false && this.runtime.spillAllowance.allow()
    }
    const choice = chooseTarget(targets, { ...context, places: this.runtime.places })
    this.state.targetLoads.observeChoice(choice, () => chooseTarget(targets, { ...context, ignoresStatements: true }), now)
    return choice
  }

  /** Records that the request is sent to a target now. Each call is paired with one of observeFinish. */
  observeSend (choice: TargetChoice, now: number): void {
    const { target } = choice
    target.findStated(now)?.observeSend(now)
    this.state.shiftCapUsage.begin(this.service, target.entry.region)
    if (target.isCold(now)) this.state.observeColdSend(target, now)
    if (target.entry.region !== this.homeRegion) this.runtime.spillAllowance.use()
  }

  observeFinish (choice: TargetChoice): void {
    this.state.shiftCapUsage.finish(this.service, choice.target.entry.region)
  }

  /** Updates the target and the times from the result of an attempt. A cancelled attempt says nothing about its target. */
  observeResult (attempt: Attempt, result: AttemptResult, now: number): void {
    const { target } = attempt.choice
    if (result.kind === 'answered' && attempt.sentAt !== undefined) {
      if (attempt.carrier === undefined) this.state.links.observeAnswer(target, now)
      this.state.announcements.observeAnswer(target, result.head, attempt.sentAt, now)
      this.state.targetLoads.observeAnswer(target, result.head, now)
    }
    if (attempt.isCancelled || attempt.sentAt === undefined || attempt.isCarrierFault) return
    if (result.kind !== 'answered') {
      this.observeUnanswered(attempt, now)
      return
    }
    if (result.head.coldForMs !== undefined) target.markCold(result.head.coldForMs, now)
    if (result.head.isMisdirected) this.state.fleet.removeMisdirected(target, now)
    else if (result.head.isNotRun || !result.head.isGenuine || result.head.status >= FIRST_FAILURE_STATUS) target.observeFailure(now)
    else this.learnDuration(attempt, result.head, now - attempt.sentAt, now)
  }

  // A host that carries an attempt probes the target itself. Over a lost link no failure is the target's.
  private observeUnanswered ({ choice: { target }, carrier }: Attempt, now: number): void {
    if (carrier === undefined && this.state.links.isLost(target)) return
    target.observeFailure(now)
    if (carrier === undefined) void this.state.prober.probe(target)
  }

  /** Updates the times from an attempt that had no answer at the request's deadline. */
  observeOverrun ({ choice, request, sentAt, isCutOff }: Attempt, now: number): void {
    if (sentAt === undefined || isCutOff) return
    const workMs = now - sentAt - choice.roundTripMs - choice.waitMs
    const { name, targetLatencyMs } = request.route
    this.runtime.findTimes(name).observeOverrun(workMs, targetLatencyMs)
    if (request.affinityKey !== undefined) this.runtime.times.observeOverrun(workMs, targetLatencyMs)
  }

  /** Whether the request's key still belongs to its organisation: a version that revokes the key may arrive while the request waits. */
  isIdentified ({ identity, organisationKey, route }: CallerRequest): boolean {
    if (identity.kind !== 'organisation') return true
    const current = identifyCaller(this.state.fleet.organisations, organisationKey, route)
    return current.kind === 'organisation' && current.organisation.name === identity.organisation.name
  }

  /** Returns the requests per second that a target takes from all hosts together; undefined if it has announced no limit. */
  findRequestLimit (target: TargetState): number | undefined {
    const limit = this.state.announcements.limits.get(target)
    return limit === Infinity ? undefined : limit
  }

  /** Claims a send to a target; false if the target has reached its request limit or asked for a pause. */
  claimSend (target: TargetState, now: number): boolean {
    return this.state.sendLimiter.claim(target, now)
  }

  /**
   * Returns the milliseconds until one of the service's targets that have reached their request limits or asked for a pause takes a
   * request again; undefined if there are no such targets.
   */
  computeLimitWait (now: number): number | undefined {
    const waits = this.state.fleet.listTargets(this.service).map((target) => this.state.sendLimiter.computeWait(target, now)).filter((waitMs) => waitMs > 0)
    return waits.length === 0 ? undefined : Math.min(...waits)
  }

  /** Whether the link to any target of the service is lost. */
  hasLostLinks (): boolean {
    return this.state.fleet.listTargets(this.service).some((target) => this.state.links.isLost(target))
  }

  useRetry (now: number): boolean {
    return this.runtime.retryAllowance.use(now, this.state.countHosts())
  }

  /**
   * Computes the milliseconds after which a copy of a request that was sent now is due; undefined where no copies are sent, as the target
   * doesn't state its speed.
   */
  computeCopyDelay ({ arrivedAt, route }: CallerRequest, { target, expectedMs, roundTripMs }: TargetChoice, now: number): number | undefined {
    if (target.findStated(now) === undefined) return undefined
    const { targetLatencyMs } = route
    return computeCopyDelay({ expectedMs, roundTripMs, warmMs: this.getWarmMs(route), targetLatencyMs, elapsedMs: now - arrivedAt })
  }

  /** Admits a copy of a request that is still unanswered to the given second target, and uses the retry allowance for it; else says why not. */
  admitCopy ({ arrivedAt, route }: CallerRequest, second: TargetChoice | undefined, now: number): CopyDecision {
    const decision = decideCopy({ second, cachedShare: this.runtime.places.getCachedShare(now), warmMs: this.getWarmMs(route), targetLatencyMs: route.targetLatencyMs, elapsedMs: now - arrivedAt, findUsage: ({ target }) => this.computeUsage(target.entry.region, now) })
    const isAllowed = decision !== CopyDecision.send || this.runtime.retryAllowance.use(now, this.state.countHosts(), RESERVED_RETRY_SHARE)
    return isAllowed ? decision : CopyDecision.noAllowance
  }

  private getWarmMs ({ name, targetLatencyMs }: Route): number {
    return this.runtime.findTimes(name).getWarmMs(targetLatencyMs)
  }

  /** Computes the share of the slots of the service's targets in a region that are busy, as far as known. */
  private computeUsage (region: string, now: number): number {
    const targets = this.state.fleet.listTargets(this.service).filter((target) => target.entry.region === region && !target.isLeaving())
    const slots = targets.reduce((sum, target) => sum + target.entry.slots, 0)
    const busy = targets.reduce((sum, target) => sum + Math.min(target.entry.slots, target.countOutstanding(now)), 0)
    return slots === 0 ? 1 : busy / slots
  }

  getPool (target: TargetState): TargetPool {
    return this.state.pools.get(target)
  }

  private get declared (): ReturnType<ForwardState['steering']['findWeights']> {
    return this.state.steering.findWeights(this.service)
  }

  private isReachable (target: TargetState, allowedRegions: readonly string[], now: number): boolean {
    return !this.state.links.isLost(target) || this.state.carriers.hasCarrier(target, allowedRegions, now)
  }

  /** Returns a check that evaluates each region once per choice, because under a cap each evaluation sums up the requests running there. */
  private findOpenRegions (allowedRegions: readonly string[]): (region: string) => boolean {
    const { declared } = this
    const results = new Map<string, boolean>()
    return (region) => {
      const isOpen = results.get(region) ??
        (isAllowedRegion(region, allowedRegions) &&
        (declared === undefined || declared.spill || (declared.weights[region] ?? 0) > 0) &&
        this.state.allowRegion(this.service, region))
      results.set(region, isOpen)
      return isOpen
    }
  }

  private learnDuration ({ choice, request, carrier }: Attempt, { load }: TargetAnswerHead, durationMs: number, now: number): void {
    const { name, targetLatencyMs } = request.route
    const carrierRegion = carrier === undefined ? undefined : this.state.fleet.findHost(carrier)?.region
    const detourMs = carrierRegion === undefined ? 0 : this.state.roundTripTimes.find(carrierRegion)
    const workMs = Math.max(1, durationMs - choice.roundTripMs - choice.waitMs - detourMs)
    const times = this.runtime.findTimes(name)
    const usualMs = observeWork({ choice, workMs, speedPercent: load?.speedPercent, warmMs: times.getWarmMs(targetLatencyMs), coldMs: times.getColdMs(targetLatencyMs), places: this.runtime.places, now })
    times.observeAnswer(usualMs, choice.isCached, targetLatencyMs)
    // Requests that name no object, such as checks of whether a route exists, say nothing about the work on objects.
    if (request.affinityKey === undefined) return
    this.runtime.times.observeAnswer(usualMs, choice.isCached, targetLatencyMs)
    choice.target.warmKeys.add(this.keyHash)
  }
}
