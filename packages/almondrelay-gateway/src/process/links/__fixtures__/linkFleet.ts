import bunyan from 'bunyan'
import { setMaxListeners } from 'node:events'
import { ConnectFailure } from '../../../connection/connectFailure.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import type { TargetState } from '../../../request/targetState.js'
import { VirtualClock } from '../../fleet/__fixtures__/virtualClock.js'
import { RoundTripTimes } from '../../forward/roundTripTimes.js'
import type { TargetPools } from '../../forward/targetPools.js'
import { EventLog } from '../../observe/eventLog.js'
import { GatewayMetrics } from '../../observe/gatewayMetrics.js'
import { askInRounds } from '../../carriers/askInRounds.js'
import { CarrierMemory } from '../../carriers/carrierMemory.js'
import { LinkMonitor } from '../linkMonitor.js'
import { PeerReach } from '../peerReach.js'

const ROUND_TRIP_MS = 2
const LOOK_INTERVAL_MS = 50
const WORK_MS = 100
const TIMEOUT_MS = 2_000
const CONNECT_TIMEOUT_MS = 304
const MAX_CARRIERS = 4
const MAX_ATTEMPTS = 2
/** Time that a request waits for the verdict on a link. */
const VERDICT_MS = 30
/** Share of the requests that need a new connection. */
const NEW_CONNECTION_SHARE = 0.5
/** Milliseconds after a change of a target's state within which a report of its exit counts as true. */
const EXIT_SLACK_MS = 700

type Path = 'up' | 'hang' | 'refuse'

interface Outage {
  from: number
  to: number
  path: 'hang' | 'refuse'
}

interface Cut extends Outage {
  hosts: ReadonlySet<number>
  targets: ReadonlySet<number>
}

interface Crash extends Outage {
  target: number
}

interface ModelHost {
  index: number
  zone: number
  targets: TargetState[]
  monitor: LinkMonitor
  memory: CarrierMemory
}

interface ModelRequest {
  host: number
  sentAt: number
  isServed: boolean
  wasCarried: boolean
}

interface FleetOptions {
  zones: number
  hostsPerZone: number
  targetsPerZone: number
  requestsPerSecond: number
  random: () => number
}

/** Hosts with real link monitors in virtual time, and their links to targets, which fail by plan. */
export class LinkFleet {
  readonly requests: ModelRequest[] = []
  readonly exits: Array<{ host: number, target: number, at: number }> = []
  readonly cuts: Cut[] = []
  readonly crashes: Crash[] = []
  readonly hosts: ModelHost[]
  readonly targetCount: number
  private readonly clock = new VirtualClock()
  private readonly stop = new AbortController()

  constructor (private readonly options: FleetOptions) {
    setMaxListeners(0, this.stop.signal)
    const { zones, hostsPerZone, targetsPerZone } = options
    this.targetCount = zones * targetsPerZone
    this.hosts = Array.from({ length: zones * hostsPerZone }, (_, index) => this.createHost(index))
  }

  async run (ms: number): Promise<void> {
    for (const host of this.hosts) {
      this.scheduleLook(host)
      this.scheduleRequest(host, ms)
    }
    await this.clock.runUntil(ms)
    this.stop.abort()
  }

  /** Returns the exits that were reported of targets which were running. */
  listFalseExits (): typeof this.exits {
    return this.exits.filter(({ target, at }) => !this.crashes.some((crash) => crash.target === target && at >= crash.from && at <= crash.to + EXIT_SLACK_MS))
  }

  /** Returns the hosts that count links as lost now. */
  listHostsWithLostLinks (): number[] {
    return this.hosts.filter(({ monitor, targets }) => targets.some((target) => monitor.isLost(target))).map(({ index }) => index)
  }

  /** Returns the share of the requests of hosts that were sent in a span and served; NaN if none was sent. */
  computeServedShare (hosts: (index: number) => boolean, from: number, to: number): number {
    const sent = this.requests.filter(({ host, sentAt }) => hosts(host) && sentAt >= from && sentAt < to)
    return sent.filter(({ isServed }) => isServed).length / sent.length
  }

  private createHost (index: number): ModelHost {
    const { hostsPerZone, targetsPerZone } = this.options
    const targets = Array.from({ length: this.targetCount }, (_, target) => makeTarget({ id: `i-${target}`, availabilityZone: `z-${Math.floor(target / targetsPerZone)}` }))
    const getNow = (): number => this.clock.now
    const getPool = (target: TargetState): object => ({
      probe: async (_entry: unknown, timeoutMs: number) => this.connect(index, targets.indexOf(target), timeoutMs),
      resetIdle: () => undefined
    })
    const monitor = new LinkMonitor({
      pools: { get: getPool, find: getPool } as unknown as TargetPools,
      roundTripTimes: new RoundTripTimes('akl'),
      listTargets: () => targets,
      askPeers: async (target) => this.askPeers(index, targets.indexOf(target)),
      handleExit: (target) => { this.exits.push({ host: index, target: targets.indexOf(target), at: this.clock.now }) },
      handleLoss: () => undefined,
      log: new EventLog(bunyan.createLogger({ name: 'model', level: bunyan.FATAL + 1 }), getNow),
      metrics: new GatewayMetrics(),
      getNow
    })
    return { index, zone: Math.floor(index / hostsPerZone), targets, monitor, memory: new CarrierMemory() }
  }

  private findPath (host: number, target: number): Path {
    const { now } = this.clock
    const isNow = ({ from, to }: Outage): boolean => now >= from && now < to
    const crash = this.crashes.find((each) => each.target === target && isNow(each))
    const cut = this.cuts.find((each) => each.hosts.has(host) && each.targets.has(target) && isNow(each))
    return cut?.path ?? crash?.path ?? 'up'
  }

  private async connect (host: number, target: number, timeoutMs: number): Promise<{ kind: 'connected' } | { kind: 'failed', failure: ConnectFailure }> {
    const path = this.findPath(host, target)
    await this.clock.sleep(path === 'hang' ? timeoutMs : ROUND_TRIP_MS, this.stop.signal)
    if (path === 'hang') return { kind: 'failed', failure: ConnectFailure.timedOut }
    if (path === 'refuse') return { kind: 'failed', failure: ConnectFailure.refused }
    this.observeContact(host, target)
    return { kind: 'connected' }
  }

  private observeContact (host: number, target: number): void {
    const { monitor, targets } = this.hosts[host] as ModelHost
    const state = targets[target] as TargetState
    state.observeContact(this.clock.now)
    monitor.observeConnect(state, this.clock.now)
  }

  private askPeers (host: number, target: number): Promise<PeerReach> {
    const zone = Math.floor(target / this.options.targetsPerZone)
    const peers = this.sortRandomly(this.hosts.filter(({ index, monitor }) => index !== host && !monitor.listLostZones().includes(`z-${zone}`)))
    return askInRounds(peers, async ({ index, monitor, targets }) => {
      await this.clock.sleep(ROUND_TRIP_MS, this.stop.signal)
      const state = targets[target] as TargetState
      if (!monitor.isLost(state) && await monitor.probe(state)) return PeerReach.reached
      this.hosts[host]?.memory.observeNotReached(String(index), String(target), this.clock.now)
      return PeerReach.unreached
    })
  }

  private scheduleLook (host: ModelHost): void {
    this.clock.schedule(LOOK_INTERVAL_MS, () => {
      host.monitor.probeTargets(this.clock.now)
      if (!this.stop.signal.aborted) this.scheduleLook(host)
    })
  }

  private scheduleRequest (host: ModelHost, until: number): void {
    const gapMs = -Math.log(1 - this.options.random()) * 1_000 / this.options.requestsPerSecond
    this.clock.schedule(gapMs, () => {
      if (this.clock.now > until - TIMEOUT_MS) return
      const request = { host: host.index, sentAt: this.clock.now, isServed: false, wasCarried: false }
      this.requests.push(request)
      void this.serve(host, request)
      this.scheduleRequest(host, until)
    })
  }

  private async serve (host: ModelHost, request: ModelRequest): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !request.isServed; attempt += 1) {
      const target = Math.floor(this.options.random() * this.targetCount)
      const state = host.targets[target] as TargetState
      if (!host.monitor.isLost(state) && await this.sendDirectly(host, target)) request.isServed = true
      else if (host.monitor.isLost(state)) request.isServed = await this.sendIndirectly(host, target, request)
    }
  }

  private async sendDirectly (host: ModelHost, target: number): Promise<boolean> {
    const state = host.targets[target] as TargetState
    const needsConnection = this.options.random() < NEW_CONNECTION_SHARE
    if (needsConnection) {
      const opened = await this.connect(host.index, target, CONNECT_TIMEOUT_MS)
      if (opened.kind === 'failed') return this.handleFailure(host, state, opened.failure)
    }
    const path = this.findPath(host.index, target)
    if (path === 'refuse') return this.handleFailure(host, state, ConnectFailure.refused)
    const finishWaiting = host.monitor.addSend(state, this.clock.now)
    await this.clock.sleep(path === 'hang' ? TIMEOUT_MS : WORK_MS * (0.5 + this.options.random()), this.stop.signal)
    finishWaiting()
    if (path === 'hang' || this.findPath(host.index, target) !== 'up') return false
    state.observeContact(this.clock.now)
    host.monitor.observeAnswer(state, this.clock.now)
    return true
  }

  private async handleFailure ({ monitor }: ModelHost, target: TargetState, failure: ConnectFailure): Promise<false> {
    monitor.handleConnectFailure(target, failure, true)
    await this.clock.sleep(VERDICT_MS, this.stop.signal)
    return false
  }

  private async sendIndirectly (host: ModelHost, target: number, request: ModelRequest): Promise<boolean> {
    request.wasCarried = true
    const zone = `z-${Math.floor(target / this.options.targetsPerZone)}`
    for (const peer of this.sortRandomly(this.hosts.filter(({ index, monitor }) => index !== host.index && !monitor.listLostZones().includes(zone) && host.memory.isUsable(String(index), String(target), this.clock.now))).slice(0, MAX_CARRIERS)) {
      if (peer.monitor.isLost(peer.targets[target] as TargetState)) {
        host.memory.observeNotReached(String(peer.index), String(target), this.clock.now)
        continue
      }
      const path = this.findPath(peer.index, target)
      if (path === 'up') return true
      await this.handleFailure(peer, peer.targets[target] as TargetState, path === 'hang' ? ConnectFailure.timedOut : ConnectFailure.refused)
    }
    return false
  }

  private sortRandomly <Item> (items: readonly Item[]): Item[] {
    return items.map((item) => ({ item, order: this.options.random() })).sort((one, other) => one.order - other.order).map(({ item }) => item)
  }
}
