import bunyan from 'bunyan'
import { makeAnswerHead } from '../../../connection/__fixtures__/makeAnswerHead.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import type { TargetState } from '../../../request/targetState.js'
import { EventLog } from '../../observe/eventLog.js'
import { GatewayMetrics } from '../../observe/gatewayMetrics.js'
import { decodeDatagram } from '../../peers/decodeDatagram.js'
import { encodeLoadReport } from '../../peers/encodeLoadReport.js'
import type { RequestLimitReport } from '../../peers/requestLimitReport.js'
import { SendLimiter } from '../sendLimiter.js'
import { TargetAnnouncements } from '../targetAnnouncements.js'
import { startPosition } from '../../store/startPosition.js'

const STEP_MS = 5
const REPORT_INTERVAL_MS = 100
const LATENCY_MS = 2
/** Milliseconds until the other hosts notice that a host is down or up again. */
const MEMBERSHIP_DELAY_MS = 1_500
/** Window in which the users count requests, and milliseconds after the first statement of a limit from which on they do. */
const WINDOW_MS = 4_000
const BINDING_AFTER_MS = 4_000
/** Milliseconds after which a host is bound by an answer that it has received. */
const TOLD_AFTER_MS = 500

interface ModelHost {
  name: string
  upSince: number
  target: TargetState
  announcements: TargetAnnouncements
  limiter: SendLimiter
  /** Time of the first answer with a limit that this host received. */
  toldAt: number
  nextReportAt: number
}

interface Datagram { at: number, to: number, bytes: Uint8Array }
interface Answer { at: number, sentAt: number, host: ModelHost, limit: number }
interface Arrival { at: number, host: ModelHost, isTold: boolean }

interface FleetOptions {
  hosts: number
  /** Requests per second for the target that callers send to all hosts together. */
  demandPerSecond: number
  /** Returns the limit that the target states; Infinity for none. */
  limitAt: (now: number) => number
  /** Returns values in [0, 1), the same sequence in every run. */
  random: () => number
  /** Share of the reports between hosts that are lost. */
  loss?: number
  isDown?: (index: number, now: number) => boolean
  /** Longest time that the target takes for an answer, in milliseconds. */
  maxWorkMs?: number
}

/** Simulates, in virtual time, the hosts of one region that send requests to a target which states a request limit. */
export class LimitFleet {
  readonly arrivals: Arrival[] = []
  now = 0
  private statedAt = Infinity
  private readonly hosts: ModelHost[]
  private datagrams: Datagram[] = []
  private answers: Answer[] = []
  /** Names of the hosts that are known to be up; replaced whenever they change. */
  private senders: string[] = []

  constructor (private readonly options: FleetOptions) {
    this.hosts = Array.from({ length: options.hosts }, (_, index) => this.makeHost(index))
    this.senders = this.hosts.map(({ name }) => name)
  }

  run (untilMs: number): void {
    for (; this.now < untilMs; this.now += STEP_MS) {
      if (this.options.limitAt(this.now) !== Infinity) this.statedAt = Math.min(this.statedAt, this.now)
      this.updateSenders()
      this.handleDue()
      for (const [index] of this.hosts.entries()) this.advance(index)
    }
  }

  /** Returns how many more requests than the users bear arrived in the worst window; negative where all windows were within the bound. */
  findWorstExcess (): number {
    const bound = this.arrivals.filter(({ at, isTold }) => isTold && at >= this.statedAt + BINDING_AFTER_MS)
    let worst = -Infinity
    let first = 0
    for (const [last, { at }] of bound.entries()) {
      while ((bound[first] as Arrival).at <= at - WINDOW_MS) first += 1
      worst = Math.max(worst, last - first + 1 - this.computeAllowed(at))
    }
    return worst
  }

  /** Counts the requests that arrived in a span of time. */
  countArrivals (from: number, until: number): number {
    return this.arrivals.filter(({ at }) => at >= from && at < until).length
  }

  // A host can't know of a new limit before an answer states it, so the highest one of the window and of half a second before binds.
  private computeAllowed (at: number): number {
    let highest = 0
    for (let time = at - WINDOW_MS - TOLD_AFTER_MS; time <= at; time += TOLD_AFTER_MS) highest = Math.max(highest, this.options.limitAt(Math.max(0, time)))
    return highest * 1.5 * WINDOW_MS / 1_000 + 5
  }

  private makeHost (index: number): ModelHost {
    const { random } = this.options
    const log = new EventLog(bunyan.createLogger({ name: 'test', streams: [] }), () => this.now)
    const announcements = new TargetAnnouncements({ log, metrics: new GatewayMetrics() })
    const name = `front-${index}`
    const limiter = new SendLimiter({ ownHost: name, announcements, listSenders: () => this.senders, random })
    return { name, upSince: this.now, target: makeTarget({ id: 'limited' }), announcements, limiter, toldAt: Infinity, nextReportAt: this.now + random() * REPORT_INTERVAL_MS }
  }

  private updateSenders (): void {
    const known = this.hosts.filter((_, index) => this.options.isDown?.(index, this.now - MEMBERSHIP_DELAY_MS) !== true).map(({ name }) => name)
    if (known.length !== this.senders.length || known.some((name, index) => name !== this.senders[index])) this.senders = known
  }

  private advance (index: number): void {
    const { isDown, random, demandPerSecond, hosts } = this.options
    if (isDown?.(index, this.now) === true) {
      this.hosts[index] = { ...this.makeHost(index), upSince: Infinity }
      return
    }
    const host = this.hosts[index] as ModelHost
    if (host.upSince === Infinity) host.upSince = this.now
    if (this.now >= host.nextReportAt) this.report(host)
    if (random() < demandPerSecond / hosts * STEP_MS / 1_000) this.send(host)
  }

  private send (host: ModelHost): void {
    if (!host.limiter.claim(host.target, this.now)) return
    const { random, limitAt, maxWorkMs = 400 } = this.options
    // The users excuse a host that was restarted within the window before.
    const isTold = this.now - host.toldAt >= TOLD_AFTER_MS && this.now - host.upSince >= Math.min(this.now, WINDOW_MS)
    this.arrivals.push({ at: this.now, host, isTold })
    const at = this.now + 20 + random() * maxWorkMs
    this.answers.push({ at, sentAt: this.now, host, limit: limitAt(at) })
  }

  private report (host: ModelHost): void {
    host.nextReportAt = this.now + REPORT_INTERVAL_MS
    const requestLimits: readonly RequestLimitReport[] = host.announcements.limits.takeReports(this.now)
    if (requestLimits.length === 0) return
    const bytes = encodeLoadReport({ host: host.name, incarnation: 'i', region: 'akl', sequence: 1, isLeaving: false, configurationVersion: 1, storePosition: startPosition, notablePosition: startPosition, declaredRevision: 0, storeAgeMs: 0, isRegional: false, inFlight: new Map(), demands: [], requestLimits, leavingTargets: [], lostZones: [], silentHosts: [], changes: undefined })
    for (const [to, other] of this.hosts.entries()) {
      if (other === host || this.options.random() < (this.options.loss ?? 0)) continue
      this.datagrams.push({ at: this.now + LATENCY_MS, to, bytes })
    }
  }

  private handleDue (): void {
    const dueAnswers = this.answers.filter(({ at }) => at <= this.now)
    this.answers = this.answers.filter(({ at }) => at > this.now)
    for (const { host, sentAt, limit } of dueAnswers) {
      host.announcements.observeAnswer(host.target, makeAnswerHead({ requestLimit: limit }), sentAt, this.now)
      if (limit !== Infinity) host.toldAt = Math.min(host.toldAt, this.now)
    }
    const dueDatagrams = this.datagrams.filter(({ at }) => at <= this.now)
    this.datagrams = this.datagrams.filter(({ at }) => at > this.now)
    for (const { to, bytes } of dueDatagrams) this.receive(this.hosts[to] as ModelHost, bytes)
  }

  private receive (host: ModelHost, bytes: Uint8Array): void {
    const message = decodeDatagram(bytes)
    if (message?.kind !== 'load' || host.upSince === Infinity) return
    for (const limit of message.report.requestLimits) host.announcements.limits.receive(host.target, limit, message.report.host, this.now)
  }
}
