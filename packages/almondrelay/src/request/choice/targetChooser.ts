import type { TargetSpec } from '../../version/resources/targetSpec.js'
import type { Random } from '../random.js'
import { ChoiceReason } from './choiceReason.js'
import { LatencyNorm } from './latencyNorm.js'
import { OpenTargets } from './openTargets.js'
import type { TargetChoice } from './targetChoice.js'
import type { TargetReport } from './targetReport.js'
import type { TargetResult } from './targetResult.js'
import { TargetState } from './targetState.js'

/** Number of random draws before all open targets are searched. */
const MAX_DRAWS = 8

/**
 * Chooses, for one service at one host, the target to which a request is sent.
 *
 * Handles targets that become slow, accept requests and never answer, send wrong load reports
 * or have cold caches. With round robin each of these would get its full share of the requests,
 * and a slow target would fill its slots until most of the running requests were there.
 *
 * - The host's own measurements come first: the latency of answers compared with the expected
 *   cost, failures and overdue attempts. Reported load comes second (`ReportTrust`).
 * - A slow, failing or silent target gets no more work. It returns by one trial request at a
 *   time, followed by a ramp (`ColdRamp`).
 * - Two candidates are drawn at random and the one with the lower expected wait is chosen,
 *   so that hosts with the same state don't all choose the same target.
 *
 * `choose` does not count the request as running: `start` does, once the slot is actually taken.
 */
export class TargetChooser {
  private readonly states = new Map<string, TargetState>()
  private readonly openTargets = new OpenTargets()
  private readonly typicalLatency = new LatencyNorm()
  /** The last random number drawn, by which the trials of several hosts are spread in time. */
  private lastDraw = 0

  /** Replaces the targets; the state of those that remain is kept. */
  adoptTargets (targets: readonly TargetSpec[], now: number): void {
    const names = new Set(targets.map((target) => target.name))
    for (const [name, state] of this.states) {
      if (names.has(name)) continue
      this.openTargets.remove(state)
      this.states.delete(name)
    }
    for (const target of targets) {
      const state = this.states.get(target.name) ?? new TargetState(target.name, target.slots, now)
      this.states.set(target.name, state)
      state.applySpec(target)
      this.openTargets.reconcile(state)
    }
  }

  /** Requests that may run at once on all targets, as limited by ramps and trials, without leaving targets. */
  get capacity (): number {
    return this.openTargets.capacity
  }

  /** Requests that could start immediately, by this host's own count. */
  get headroom (): number {
    return this.openTargets.headroom
  }

  /** Number of requests that `choose` would place now: the headroom, or one trial of an ejected target. */
  countReady (now: number): number {
    return this.openTargets.headroom > 0 ? this.openTargets.headroom : Number(this.openTargets.findTrialDue(now) !== undefined)
  }

  countRunning (target: string): number {
    return this.states.get(target)?.running ?? 0
  }

  /** Whether a target may take one more request, such as one from a peer. */
  allow (target: string, now: number): boolean {
    const state = this.states.get(target)
    return state !== undefined && state.allowed > state.running && this.check(state, now)
  }

  /**
   * Chooses a target with a free slot; undefined if no target may take work now.
   *
   * `free`: free slots that this host may use, by target. `exclude`: targets that were already tried.
   */
  choose (free: ReadonlyMap<string, number>, exclude: ReadonlySet<string>, now: number, random: Random): TargetChoice | undefined {
    this.lastDraw = random()
    const trial = this.findTrial(free, exclude, now)
    if (trial !== undefined) return this.describeChoice(trial, ChoiceReason.trial, now)
    const one = this.pickOpen(free, exclude, undefined, now, random)
    if (one === undefined) return undefined
    const other = this.pickOpen(free, exclude, one, now, random)
    if (other === undefined) return this.describeChoice(one, ChoiceReason.only, now)
    const [best, rest] = this.estimateScore(one, now) <= this.estimateScore(other, now) ? [one, other] : [other, one]
    return { ...this.describeChoice(best, ChoiceReason.leastExpectedWait, now), otherScore: this.estimateScore(rest, now) }
  }

  /**
   * Counts a request as running. `expectedMs`: its expected latency from `AdmissionQueue.findCost`; if it is
   * undefined, the target is not judged by the latency of this answer.
   */
  start (target: string, now: number, expectedMs?: number): void {
    const state = this.states.get(target)
    if (state === undefined) return
    state.start(expectedMs, this.typicalLatency.ratio, now)
    this.openTargets.reconcile(state)
  }

  finish (target: string, result: TargetResult, now: number): void {
    const state = this.states.get(target)
    if (state === undefined) return
    state.trialSpread = this.lastDraw
    const ratio = state.finish(result, this.typicalLatency.ratio, now)
    if (ratio !== undefined) this.typicalLatency.recordRatio(ratio)
    this.openTargets.reconcile(state)
  }

  report (target: string, report: TargetReport, now: number): void {
    const state = this.states.get(target)
    if (state === undefined) return
    state.reports.accept(report, now)
    state.isReportedLeaving = report.leaving
    if (state.reports.isUnhealthy && state.trialAt === undefined) state.eject(now)
    this.openTargets.reconcile(state)
  }

  /** Marks a target as leaving because of a drain or of the host list. */
  markLeaving (target: string, leaving: boolean, _now: number): void {
    const state = this.states.get(target)
    if (state === undefined) return
    state.isMarkedLeaving = leaving
    this.openTargets.reconcile(state)
  }

  /** Describes the state of one target, for status and log lines. */
  describeTarget (target: string, now: number): TargetChoice | undefined {
    const state = this.states.get(target)
    return state === undefined ? undefined : this.describeChoice(state, ChoiceReason.only, now)
  }

  private findTrial (free: ReadonlyMap<string, number>, exclude: ReadonlySet<string>, now: number): TargetState | undefined {
    const state = this.openTargets.findTrialDue(now)
    if (state === undefined || state.isLeaving || exclude.has(state.name) || (free.get(state.name) ?? 0) <= 0) return undefined
    return state.isSilent(now) ? undefined : state
  }

  private pickOpen (free: ReadonlyMap<string, number>, exclude: ReadonlySet<string>, drawn: TargetState | undefined, now: number, random: Random): TargetState | undefined {
    const allow = (state: TargetState): boolean =>
      state !== drawn && !exclude.has(state.name) && (free.get(state.name) ?? 0) > 0 && this.check(state, now)
    for (let draw = 0; draw < MAX_DRAWS; draw += 1) {
      const state = this.openTargets.pick(random)
      if (state === undefined) return undefined
      if (allow(state)) return state
    }
    return this.openTargets.find(allow, random)
  }

  /** Checks a target that is about to get work: makes it cold again after a long idle time, and ejects it if it is silent. */
  private check (state: TargetState, now: number): boolean {
    if (state.checkIdle(now)) this.openTargets.reconcile(state)
    if (!state.isSilent(now)) return true
    state.trialSpread = this.lastDraw
    state.eject(now)
    this.openTargets.reconcile(state)
    return false
  }

  private estimateScore (state: TargetState, now: number): number {
    const ownLoad = (state.running + 1) / state.slots
    return (ownLoad + state.reports.estimateExtraLoad(ownLoad, now)) * state.slowness / this.typicalLatency.ratio
  }

  private describeChoice (state: TargetState, reason: ChoiceReason, now: number): TargetChoice {
    const { name, slowness, running, allowed } = state
    return { target: name, reason, score: this.estimateScore(state, now), slowness, running, allowed }
  }
}
