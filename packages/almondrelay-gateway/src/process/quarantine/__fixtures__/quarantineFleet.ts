import bunyan from 'bunyan'
import { makeRequest } from '../../../connection/__fixtures__/makeRequest.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import type { TargetAnswerHead } from '../../../request/targetAnswerHead.js'
import type { TargetState } from '../../../request/targetState.js'
import { FakeRevisionStore } from '../../fleet/__fixtures__/fakeRevisionStore.js'
import { PlainFleetCodec } from '../../fleet/__fixtures__/plainFleetCodec.js'
import { EventLog } from '../../observe/eventLog.js'
import { GatewayMetrics } from '../../observe/gatewayMetrics.js'
import { decodeDatagram } from '../../peers/decodeDatagram.js'
import type { CommitResult } from '../../store/commitResult.js'
import type { StoreLease } from '../../store/storeLease.js'
import { StoreError } from '../../store/storeError.js'
import type { StorePosition } from '../../store/storePosition.js'
import type { StoreTransaction } from '../../store/storeTransaction.js'
import { encodeSuspectReport } from '../encodeSuspectReport.js'
import { Quarantine } from '../quarantine.js'
import { RequestGate } from '../requestGate.js'
import type { Suspect } from '../suspect.js'
import { SuspectStore } from '../suspectStore.js'

const STEP_MS = 10
/** Milliseconds between two reads of the store's changes by a host. */
const WATCH_INTERVAL_MS = 250
/** Milliseconds after an announcement at which its datagrams are sent. */
const ANNOUNCEMENT_DELAYS_MS = [10, 410, 810]
const ONE_WAY_LATENCY_MS = 30
/** Milliseconds from the loss of an answer until the exit of the target is observed. */
const EXIT_DETECTION_MS = 60
const WORK_MS = 150
const POISON_WORK_MS = 80
const RESTART_MS = 3_000
const POISON = '/poison'
const ANSWER: TargetAnswerHead = { status: 200, rawHeaders: [], requestId: 'r', isNotRun: false, refusesUnread: false, isMisdirected: false, isGenuine: true, keepAliveMs: undefined, closesConnection: false, load: undefined, coldForMs: undefined, requestLimit: Infinity, isLeaving: false, pauseMs: 0 }

interface ModelTarget {
  incarnation: TargetState
  downUntil: number
  running: Set<Sending>
}

interface ModelHost {
  index: number
  quarantine: Quarantine
  watched: StorePosition
  nextWatchAt: number
  upSince: number
  /** Whether the host has read the store once; before, it serves nothing. */
  isReady: boolean
  stop: AbortController
}

interface Sending {
  host: ModelHost
  target: ModelTarget
  incarnation: TargetState
  gate: RequestGate
  url: string
  sends: number
}

interface FleetOptions {
  hosts: number
  targets: number
  random: () => number
  /** Rate per second of the request that makes its targets exit; 0 for none. */
  poisonPerSecond: number
  /** Whether callers send no such request at a time. */
  isPoisonPaused?: (now: number) => boolean
  /** Number of paths of other requests. */
  hotPaths: number
  /** Rate per second of the requests for each of these paths. */
  hotPerSecond: number
  /** Whether datagrams from one host reach another one. */
  isLinked?: (from: number, to: number, now: number) => boolean
  /** Whether a host can reach the store and gets answers from it. */
  reachesStore?: (host: number, now: number) => boolean
  isDown?: (host: number, now: number) => boolean
  /** Share of the datagrams that is lost. */
  loss?: number
  /** Milliseconds at which all records lapse with their leases; undefined if none do. */
  lapseAt?: number
  /** Times at which the store returns from a copy, and at which the copy was made. */
  storeReturns?: ReadonlyArray<{ copiedAt: number, at: number }>
  /** Share of the targets that crash at a time for reasons other than the request. */
  findCrashShare?: (now: number) => number
}

interface ScheduledTask {
  at: number
  run: () => void
}

/** Simulates hosts, a store and targets in virtual time; one request makes the targets that run it exit. */
export class QuarantineFleet {
  /** Times at which the request made a target exit. */
  readonly ends: number[] = []
  readonly sends: Array<{ at: number, host: number }> = []
  readonly served: Array<{ at: number, url: string }> = []
  readonly refused: Array<{ at: number, url: string }> = []
  now = 0
  private readonly store = new FakeRevisionStore()
  private readonly codec = new PlainFleetCodec()
  private readonly copies = new Map<number, ReturnType<FakeRevisionStore['copy']>>()
  private readonly hosts: ModelHost[]
  private readonly targets: ModelTarget[]
  private scheduled: ScheduledTask[] = []
  private incarnationCount = 0

  constructor (private readonly options: FleetOptions) {
    this.targets = Array.from({ length: options.targets }, () => ({ incarnation: this.makeIncarnation(), downUntil: 0, running: new Set() }))
    this.hosts = Array.from({ length: options.hosts }, (_, index) => this.makeHost(index))
  }

  async run (untilMs: number): Promise<void> {
    for (; this.now < untilMs; this.now += STEP_MS) {
      this.runDue()
      this.killTargets()
      if (this.now === this.options.lapseAt) this.dropRecords()
      this.returnStore()
      for (const host of this.hosts) this.advance(host)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
    for (const { stop } of this.hosts) stop.abort()
  }

  /**
   * Counts the sends of the request that came later than the window after it had made its third target exit. Only hosts that ran and
   * reached the store throughout the window before the send are counted.
   */
  countLateSends (windowMs: number): number {
    const third = this.ends[2]
    return third === undefined ? 0 : this.sends.filter(({ at, host }) => at > third + windowMs && this.isConnected(host, at, windowMs)).length
  }

  private isConnected (host: number, at: number, windowMs: number): boolean {
    for (let time = at - windowMs; time <= at; time += STEP_MS) {
      if (this.options.isDown?.(host, time) === true || this.options.reachesStore?.(host, time) === false) return false
    }
    return true
  }

  private makeIncarnation (): TargetState {
    this.incarnationCount += 1
    return makeTarget({ id: `target-${this.incarnationCount}` })
  }

  private makeHost (index: number): ModelHost {
    const stop = new AbortController()
    const log = new EventLog(bunyan.createLogger({ name: 'test', streams: [] }), () => this.now)
    const random = this.options.random
    const suspects: SuspectStore = new SuspectStore({
      store: this.makeStoreOf(index),
      codec: this.codec,
      log,
      getNow: () => this.now,
      random,
      sleep: (ms) => new Promise((resolve) => { this.schedule(ms, resolve) }),
      adoptRecord: (record, position) => { quarantine.adoptRecord(record, position, this.now) }
    }, stop.signal)
    const quarantine: Quarantine = new Quarantine({ exchange: { announce: (suspect) => { this.announce(index, suspect) } }, store: suspects, log, metrics: new GatewayMetrics(), random })
    return { index, quarantine, watched: this.store.position, nextWatchAt: this.now + random() * WATCH_INTERVAL_MS, upSince: this.now, isReady: false, stop }
  }

  /** Makes a view of the store that throws while the host cannot reach it. */
  private makeStoreOf (index: number): FakeRevisionStore {
    const callWithin = async <Result>(call: string, run: () => Promise<Result>): Promise<Result> => {
      if (!this.hasStore(index)) throw new StoreError('refused', call, 'not reached')
      return await run()
    }
    const view = Object.create(this.store) as FakeRevisionStore
    view.commit = (transaction: StoreTransaction): Promise<CommitResult> => callWithin('commit', () => this.store.commit(transaction))
    view.grantLease = (): Promise<StoreLease> => callWithin('grant lease', () => this.store.grantLease())
    view.releaseLease = (lease: StoreLease): Promise<void> => callWithin('release lease', () => this.store.releaseLease(lease))
    return view
  }

  private hasStore (index: number): boolean {
    return this.options.reachesStore?.(index, this.now) !== false
  }

  private schedule (delayMs: number, run: () => void): void {
    this.scheduled.push({ at: this.now + delayMs, run })
  }

  private runDue (): void {
    const due = this.scheduled.filter(({ at }) => at <= this.now)
    if (due.length === 0) return
    this.scheduled = this.scheduled.filter(({ at }) => at > this.now)
    for (const { run } of due) run()
  }

  private announce (from: number, suspect: Suspect): void {
    const { loss = 0, random, isLinked, isDown } = this.options
    for (const delayMs of ANNOUNCEMENT_DELAYS_MS) {
      this.schedule(delayMs, () => {
        if (isDown?.(from, this.now) === true) return
        const bytes = encodeSuspectReport({ host: String(from), incarnation: 'i', suspects: [suspect.describe()], passesOn: false })
        for (const { index } of this.hosts) {
          if (index !== from && random() >= loss && isLinked?.(from, index, this.now) !== false) this.schedule(ONE_WAY_LATENCY_MS, () => { this.receive(index, bytes) })
        }
      })
    }
  }

  private receive (to: number, bytes: Uint8Array): void {
    const message = decodeDatagram(bytes)
    if (message?.kind !== 'suspects' || this.options.isDown?.(to, this.now) === true) return
    for (const state of message.report.suspects) this.hosts[to]?.quarantine.receiveState(state, this.now)
  }

  private advance (host: ModelHost): void {
    const { isDown, random, poisonPerSecond, hotPaths, hotPerSecond, hosts } = this.options
    if (isDown?.(host.index, this.now) === true) {
      host.stop.abort()
      host.upSince = Infinity
      return
    }
    if (host.upSince === Infinity) Object.assign(host, this.makeHost(host.index))
    if (this.now >= host.nextWatchAt) this.watch(host)
    if (!host.isReady) return
    if (this.options.isPoisonPaused?.(this.now) !== true && random() < poisonPerSecond / hosts * STEP_MS / 1_000) void this.handle(host, POISON)
    for (let path = 0; path < hotPaths; path += 1) {
      if (random() < hotPerSecond / hosts * STEP_MS / 1_000) void this.handle(host, `/hot/${path}`)
    }
  }

  private watch (host: ModelHost): void {
    if (!this.hasStore(host.index)) return
    host.nextWatchAt = this.now + WATCH_INTERVAL_MS
    const hasReturned = host.isReady && host.watched.era !== this.store.position.era
    const readsAll = hasReturned || !host.isReady
    const events = readsAll ? this.store.listItems().map((item) => ({ kind: 'written' as const, item })) : this.store.listEvents('', host.watched.revision)
    host.isReady = true
    host.watched = this.store.position
    if (hasReturned) this.observeReturn(host)
    for (const event of events) {
      const change = this.codec.decode(event)
      if (change?.kind === 'suspect-gone') host.quarantine.dropRecord(change.fingerprint)
      if (change?.kind === 'suspect') host.quarantine.adoptRecord(change.record, { era: host.watched.era, revision: change.revision }, this.now)
    }
  }

  private returnStore (): void {
    for (const { copiedAt, at } of this.options.storeReturns ?? []) {
      if (this.now === copiedAt) this.copies.set(copiedAt, this.store.copy())
      const copy = this.copies.get(copiedAt)
      if (this.now !== at || copy === undefined) continue
      this.store.returnFrom(copy)
      this.store.era.observe(this.store.position.era)
    }
  }

  /** Does what a host does when it has read all keys again after the return of the store. */
  private observeReturn ({ quarantine }: ModelHost): void {
    const stored = new Set(this.store.listItems().map(({ key }) => key))
    for (const { fingerprint } of quarantine.list()) {
      if (!stored.has(`suspect/${fingerprint}`)) quarantine.dropRecord(fingerprint)
    }
    quarantine.handleStoreReturn()
  }

  private async handle (host: ModelHost, url: string): Promise<void> {
    const gate = new RequestGate(makeRequest({ url }), host.quarantine)
    if (gate.isBlocked) await gate.claimTrial(this.now)
    this.send(host, gate, url, 0)
  }

  private send (host: ModelHost, gate: RequestGate, url: string, sends: number): void {
    const free = this.targets.filter(({ downUntil }) => downUntil <= this.now)
    const target = free[Math.floor(this.options.random() * free.length)]
    if (target === undefined) return
    if (!gate.allowSend(sends)) {
      if (sends === 0) this.refused.push({ at: this.now, url })
      return
    }
    if (url === POISON) this.sends.push({ at: this.now, host: host.index })
    const sending = { host, target, incarnation: target.incarnation, gate, url, sends: sends + 1 }
    target.running.add(sending)
    this.schedule(ONE_WAY_LATENCY_MS + (url === POISON ? POISON_WORK_MS : WORK_MS), () => { this.finish(sending) })
  }

  private finish (sending: Sending): void {
    const { target, incarnation, host, gate, url } = sending
    if (!target.running.delete(sending)) return
    if (url === POISON) {
      this.ends.push(this.now)
      this.stop(target)
      this.handleLoss(sending)
      return
    }
    gate.observeResult(incarnation, { kind: 'answered', head: ANSWER, body: Buffer.alloc(0) }, this.now)
    if (host.upSince !== Infinity) this.served.push({ at: this.now, url })
  }

  private stop (target: ModelTarget): void {
    target.downUntil = this.now + RESTART_MS
    target.incarnation = this.makeIncarnation()
    const lost = [...target.running]
    target.running.clear()
    for (const sending of lost) this.handleLoss(sending)
  }

  private handleLoss ({ host, gate, incarnation, url, sends }: Sending): void {
    const { quarantine } = host
    this.schedule(ONE_WAY_LATENCY_MS, () => {
      if (this.options.isDown?.(host.index, this.now) === true || host.quarantine !== quarantine) return
      gate.observeResult(incarnation, { kind: 'broken', reason: 'ended by the target' }, this.now)
      this.schedule(EXIT_DETECTION_MS, () => { quarantine.observeTargetExit(incarnation, this.now) })
      if (sends < 2) this.send(host, gate, url, sends)
    })
  }

  private dropRecords (): void {
    for (const { key } of this.store.listItems()) this.store.remove(key)
  }

  private killTargets (): void {
    const share = this.options.findCrashShare?.(this.now) ?? 0
    for (const target of this.targets) if (target.downUntil <= this.now && this.options.random() < share) this.stop(target)
  }
}
