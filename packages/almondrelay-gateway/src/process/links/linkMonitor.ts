import { computeConnectTimeout } from '../../connection/computeConnectTimeout.js'
import { ConnectFailure } from '../../connection/connectFailure.js'
import type { TargetState } from '../../request/targetState.js'
import type { RoundTripTimes } from '../forward/roundTripTimes.js'
import type { TargetPools } from '../forward/targetPools.js'
import type { EventLog } from '../observe/eventLog.js'
import type { GatewayMetrics } from '../observe/gatewayMetrics.js'
import { LinkTable } from './linkTable.js'
import { LinkVerdict } from './linkVerdict.js'
import { PeerReach } from './peerReach.js'
import { SilenceDetector } from './silenceDetector.js'
import { SuspectLinks } from './suspectLinks.js'

/** Minimum milliseconds between two looks for silent targets and due probes. */
const LOOK_INTERVAL_MS = 90
/** Milliseconds for which the verdict of a check is used again. */
const VERDICT_LIFE_MS = 500
/** Maximum checks at the same time: when many targets exit together, each host would otherwise ask the others about each of them. */
const MAX_CHECKS = 4
/** Milliseconds for which a request waits for a verdict before it goes to another target. */
const MAX_WAIT_MS = 150
/** Other targets that are probed to see whether this host's own links work. */
const MAX_CONTROLS = 3

interface MonitorParts {
  pools: TargetPools
  roundTripTimes: RoundTripTimes
  listTargets: () => Iterable<TargetState>
  /** Asks other hosts whether they reach a target. */
  askPeers: (target: TargetState) => Promise<PeerReach>
  /** Called when a target's process has exited: its address refuses connections and none is open. */
  handleExit: (target: TargetState, now: number) => void
  /** Called when links count as lost, for requests that wait for answers over them. */
  handleLoss: () => void
  log: EventLog
  metrics: GatewayMetrics
  getNow: () => number
}

/**
 * Finds out which targets this host can't reach although other hosts do, and when it reaches them again.
 *
 * A failed connection alone says nothing about the link: the target may have exited. So other hosts are asked, and only then.
 */
export class LinkMonitor {
  private readonly table: LinkTable
  private readonly silence = new SilenceDetector()
  private readonly suspects = new SuspectLinks()
  private readonly checks = new Map<TargetState, Promise<LinkVerdict>>()
  private readonly verdicts = new WeakMap<TargetState, { verdict: LinkVerdict, at: number }>()
  private readonly probes = new Map<TargetState, Promise<boolean>>()
  /** How the last connection to a target failed. */
  private readonly failures = new WeakMap<TargetState, ConnectFailure>()
  private lookedAt = -Infinity

  constructor (private readonly parts: MonitorParts) {
    this.table = new LinkTable(parts.listTargets)
  }

  /** Whether requests to a target must go by way of another host. */
  isLost (target: TargetState): boolean {
    return this.table.isLost(target)
  }

  listLostZones (): string[] {
    return this.table.listLostZones()
  }

  /** Records that a request is written to a target; returns the function to call once it waits no more. */
  addSend (target: TargetState, now: number): () => void {
    return this.silence.addSend(target, now)
  }

  /** Records that a target answered a request that this host sent to it directly. */
  observeAnswer (target: TargetState, now: number): void {
    target.observeContact(now)
    this.silence.observeAnswer(target, now)
    this.table.observeContact(target, now)
  }

  /** Records that this host opened a connection to a target. */
  observeConnect (target: TargetState, now: number): void {
    target.observeContact(now)
    this.silence.observeContact(target, now)
    this.table.observeContact(target, now)
  }

  /** Records that a connection to a target failed, other than a probe of this class. */
  handleConnectFailure (target: TargetState, failure: ConnectFailure, isUnconnected: boolean): void {
    if (failure === ConnectFailure.targetLeft || this.table.isLost(target)) return
    this.failures.set(target, failure)
    const at = this.parts.getNow()
    const check = this.check(target)
    if (failure !== ConnectFailure.refused || !isUnconnected) return
    void check.then((verdict) => { if (verdict === LinkVerdict.targetDown) this.parts.handleExit(target, at) })
  }

  /** Resolves with whether the link to a target is lost, after a connection to it has failed; false if that takes too long. */
  async verifyLoss (target: TargetState): Promise<boolean> {
    if (this.table.isLost(target)) return true
    const check = this.checks.get(target)
    if (check === undefined) return false
    const waitMs = MAX_WAIT_MS + 2 * this.parts.roundTripTimes.find(target.entry.region)
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<void>((resolve) => { timer = setTimeout(resolve, waitMs) })
    await Promise.race([check, timeout])
    clearTimeout(timer)
    return this.table.isLost(target)
  }

  /** Opens a connection to a target, or joins the probe that is under way; resolves with whether it was opened. */
  probe (target: TargetState): Promise<boolean> {
    const running = this.probes.get(target)
    if (running !== undefined) return running
    const probe = this.connect(target).finally(() => { this.probes.delete(target) })
    this.probes.set(target, probe)
    return probe
  }

  /** Forgets a target that has left. */
  drop (target: TargetState): void {
    this.table.drop(target)
  }

  /**
   * Probes silent targets, those with lost links and those that may be in the same cut, if the last look is long enough ago. Called by a
   * timer that runs anyway.
   */
  probeTargets (now: number): void {
    if (now - this.lookedAt < LOOK_INTERVAL_MS) return
    this.lookedAt = now
    for (const target of this.silence.listSilentTargets(now)) void this.probeSilent(target)
    for (const target of this.suspects.takeProbes(() => this.listIntact(), now)) void this.probeSuspect(target)
    for (const target of this.table.takeProbes(now)) void this.probeLost(target)
  }

  private async connect (target: TargetState): Promise<boolean> {
    if (target.isLeaving()) return false
    const { pools, roundTripTimes, log } = this.parts
    try {
      const opened = await pools.get(target).probe(target.entry, computeConnectTimeout(roundTripTimes.find(target.entry.region)), false)
      if (opened.kind === 'failed') this.failures.set(target, opened.failure)
      return opened.kind === 'connected'
    } catch (error) {
      log.logError('a target could not be probed', error as Error)
      return false
    }
  }

  private async probeSilent (target: TargetState): Promise<void> {
    if (this.table.isLost(target) || target.isLeaving() || await this.probe(target)) return
    await this.check(target)
  }

  // Only links that hang are looked for: a target that refuses is noticed by the next request.
  private async probeSuspect (target: TargetState): Promise<void> {
    if (await this.probe(target) || this.failures.get(target) !== ConnectFailure.timedOut) return
    await this.check(target)
  }

  private listIntact (): TargetState[] {
    return [...this.parts.listTargets()].filter((target) => !this.table.isLost(target) && !target.isLeaving())
  }

  private async probeLost (target: TargetState): Promise<void> {
    const isReached = await this.probe(target)
    const recovered = this.table.observeProbe(target, isReached, this.parts.getNow())
    if (recovered === undefined) return
    this.report('links to targets restored', { target: recovered.target?.entry.id, availabilityZone: recovered.availabilityZone })
  }

  /** Asks other hosts about a target to which a connection of this host has just failed. */
  private check (target: TargetState): Promise<LinkVerdict> {
    const running = this.checks.get(target)
    if (running !== undefined) return running
    const known = this.verdicts.get(target)
    if (known !== undefined && this.parts.getNow() - known.at < VERDICT_LIFE_MS) return Promise.resolve(known.verdict)
    if (this.checks.size >= MAX_CHECKS) return Promise.resolve(LinkVerdict.unclear)
    const check = this.findVerdict(target).finally(() => { this.checks.delete(target) })
    this.checks.set(target, check)
    return check
  }

  private async findVerdict (target: TargetState): Promise<LinkVerdict> {
    const startedAt = this.parts.getNow()
    const reach = await this.parts.askPeers(target)
    const hasControl = reach === PeerReach.reached || await this.probeControls(target, startedAt)
    const now = this.parts.getNow()
    const verdict = this.decideVerdict(target, reach, hasControl, now - startedAt)
    this.verdicts.set(target, { verdict, at: now })
    if (verdict === LinkVerdict.lost && !this.table.isLost(target)) this.markLost(target, now)
    return verdict
  }

  private decideVerdict (target: TargetState, reach: PeerReach, hasControl: boolean, durationMs: number): LinkVerdict {
    if (this.table.isLost(target)) return LinkVerdict.lost
    if (target.isLeaving()) return LinkVerdict.targetDown
    if (target.computeContactAge(this.parts.getNow()) < durationMs) return LinkVerdict.up
    if (reach === PeerReach.reached) return LinkVerdict.lost
    return hasControl ? LinkVerdict.targetDown : LinkVerdict.unclear
  }

  // Shows whether this host reaches other targets, of the same availability zone if there are any. Only while it does is a target that
  // no host reaches known to be down: a host that is cut off, and asks peers that are cut off too, must not count exits.
  private async probeControls (target: TargetState, startedAt: number): Promise<boolean> {
    const controls = this.listControls(target)
    if (controls.length === 0) return true
    const now = this.parts.getNow()
    if (controls.some((control) => control.computeContactAge(now) < now - startedAt)) return true
    return Promise.any(controls.slice(0, MAX_CONTROLS).map(async (control) => {
      if (!await this.probe(control)) throw new Error('not reached')
      return true
    })).catch(() => false)
  }

  private listControls (target: TargetState): TargetState[] {
    const others = [...this.parts.listTargets()].filter((other) => other !== target && !other.isLeaving())
    const inZone = others.filter(({ entry }) => entry.availabilityZone === target.entry.availabilityZone)
    const now = this.parts.getNow()
    const rank = (other: TargetState): number => (other.isSuspended(now) ? 1 : 0) + (this.verdicts.get(other)?.verdict === LinkVerdict.targetDown ? 1 : 0)
    return (inZone.length > 0 ? inZone : others).sort((one, other) => rank(one) - rank(other))
  }

  private markLost (target: TargetState, now: number): void {
    const contactAgeMs = target.computeContactAge(now)
    const zones = this.table.markLost(target, now)
    if (this.failures.get(target) === ConnectFailure.timedOut) this.suspects.observeLoss(now)
    for (const other of this.parts.listTargets()) {
      if (!this.table.isLost(other)) continue
      other.clearFailures()
      this.parts.pools.find(other)?.resetIdle()
    }
    this.report('links to targets lost', { target: target.entry.id, availabilityZones: zones, contactAgeMs: Number.isFinite(contactAgeMs) ? Math.round(contactAgeMs) : undefined })
    this.parts.handleLoss()
  }

  private report (event: string, fields: object): void {
    const lostZones = this.table.listLostZones()
    const lostTargets = this.table.countLostTargets()
    this.parts.log.report(event, { ...fields, lostZones, lostTargets })
    this.parts.metrics.setLostLinks(lostTargets, lostZones.length)
  }
}
