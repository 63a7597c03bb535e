import { setMaxListeners } from 'node:events'
import { createClientServer, openServer, sleepFor, splitAddress, SystemClock, type ClientGuardParts } from 'almondrelay'
import type Logger from 'bunyan'
import { CallerServer } from '../connection/callerServer.js'
import type { ConnectFailure } from '../connection/connectFailure.js'
import { listenForGet } from '../connection/listenForGet.js'
import { MessageMemory } from '../connection/messageMemory.js'
import type { ReadFailureReport } from '../connection/readFailureReport.js'
import { TurnQueue } from '../connection/turnQueue.js'
import { HostLoad } from '../request/hostLoad.js'
import type { TargetState } from '../request/targetState.js'
import { TargetAnnouncements } from './announcements/targetAnnouncements.js'
import { CarrierServer } from './carriers/carrierServer.js'
import { FleetFollower } from './fleet/fleetFollower.js'
import { FleetState } from './fleet/fleetState.js'
import { HostAnnouncer } from './fleet/hostAnnouncer.js'
import { makeOwnEntry } from './fleet/makeOwnEntry.js'
import type { HostEntry } from './fleet/hostEntry.js'
import { ForwardState } from './forward/forwardState.js'
import { runLoadSampler } from './forward/loadSampler.js'
import { RegionPlanner } from './forward/regionPlanner.js'
import { RequestHandler } from './forward/requestHandler.js'
import type { GatewayAdapter } from './gatewayAdapter.js'
import { LookupAnswers } from './lookup/lookupAnswers.js'
import { Allowances } from './organisations/allowances.js'
import { UsageExchange } from './organisations/usageExchange.js'
import { AccountRecorder } from './observe/accountRecorder.js'
import { TargetLoadExchange } from './loads/targetLoadExchange.js'
import type { EventLog } from './observe/eventLog.js'
import type { GatewayMetrics } from './observe/gatewayMetrics.js'
import { LazyOperatorService } from './operators/lazyOperatorService.js'
import { decodeDatagram } from './peers/decodeDatagram.js'
import { PeerExchange } from './peers/peerExchange.js'
import { PeerSocket } from './peers/peerSocket.js'
import { PeerView } from './peers/peerView.js'
import { PlannedStop } from './stop/plannedStop.js'
import { createWorkShares } from './shares/createWorkShares.js'
import { createQuarantine } from './quarantine/createQuarantine.js'
import type { Quarantine } from './quarantine/quarantine.js'
import type { SuspectExchange } from './quarantine/suspectExchange.js'
import { computeClientLimits } from './settings/computeClientLimits.js'
import type { GatewaySettings } from './settings/gatewaySettings.js'
import { PortName } from './settings/portName.js'
import { StoreKeyValues } from './store/storeKeyValues.js'
import type { StoreHealth } from './store/storeHealth.js'

/** Milliseconds between checks for connections to targets that have been idle for too long. */
const IDLE_CHECK_INTERVAL_MS = 1_000
/** Maximum milliseconds, within the remaining grace period, for writing the last account pages at a planned stop. */
const MAX_ACCOUNT_FLUSH_MS = 1_000
/** Maximum bytes of answers held in memory at once; an answer takes twice its size while its chunks are concatenated. */
const MAX_ANSWER_BYTES = 48 * 1024 * 1024
const MB = 1024 * 1024
/** Share of the process's memory that bodies of requests may take together: one of 64 MB fits into 250 MB. */
const BODIES_SHARE = 0.3
/** Abort listeners that the tasks may register at the same time; above this number Node.js warns of a listener leak. */
const MAX_ABORT_LISTENERS = 50

interface GatewayParts {
  settings: GatewaySettings
  adapter: GatewayAdapter
  health: StoreHealth
  log: EventLog
  /** Logger without a rate limit, for the operators' API, which writes few lines. */
  logger: Logger
  metrics: GatewayMetrics
  incarnation: string
  /** Monotonic milliseconds. */
  getNow: () => number
  random: () => number
}

/** An entry host: its state, its ports and the background tasks that keep its state up to date. */
export class Gateway {
  private readonly own: HostEntry
  private readonly fleet: FleetState
  private readonly view: PeerView
  private readonly forward: ForwardState
  private readonly planner: RegionPlanner
  private readonly peerExchange: PeerExchange
  private readonly socket: PeerSocket
  private readonly allowances: Allowances
  private readonly usageExchange: UsageExchange
  private readonly suspectExchange: SuspectExchange
  private readonly targetLoadExchange: TargetLoadExchange
  private readonly quarantine: Quarantine
  private readonly requestHandler: RequestHandler
  private readonly carrierServer: CarrierServer
  private readonly callers: CallerServer
  private readonly plannedStop: PlannedStop
  private readonly lookups: LookupAnswers
  private readonly announcer: HostAnnouncer
  private readonly follower: FleetFollower
  private readonly account: AccountRecorder
  private readonly operatorService: LazyOperatorService
  private readonly load = new HostLoad()
  private readonly memory = new MessageMemory(MAX_ANSWER_BYTES)
  private readonly bodies: MessageMemory
  private readonly turns: TurnQueue
  private readonly abortController = new AbortController()
  private isLeaving = false

  constructor (private readonly parts: GatewayParts) {
    const { settings, adapter, log, metrics, getNow, random } = parts
    const isLeaving = (): boolean => this.isLeaving
    this.turns = new TurnQueue(getNow)
    this.bodies = new MessageMemory(settings.limits.memoryMb * MB * BODIES_SHARE)
    this.own = makeOwnEntry(settings, parts.incarnation)
    const announcements = new TargetAnnouncements({ log, metrics })
    this.fleet = new FleetState({
      targetAdded: (target) => { announcements.departures.apply(target) },
      targetRemoved: (target) => { this.forward.dropTarget(target) },
      targetRestarted: (target) => {
        this.forward.abortTarget(target)
        this.quarantine.observeTargetExit(target, getNow())
      },
      hostRemoved: (entry) => { this.view.observeEntryRemoved(entry, getNow()) }
    })
    this.fleet.putHost(this.own)
    this.view = new PeerView(this.own, this.fleet)
    this.forward = new ForwardState({ own: this.own, settings, fleet: this.fleet, peers: this.view, codec: adapter.targets, memory: this.memory, bodies: this.bodies, announcements, getNow, random, countOpened: (region, cause) => { metrics.countConnection(region, cause) }, observeFailure: (target, failure, isUnconnected) => { this.observeFailure(target, failure, isUnconnected) }, handleExit: (target, now) => { this.quarantine.observeTargetExit(target, now) }, handleLinkLoss: () => { this.requestHandler.handleLinkLoss() }, log, metrics, startRuntime: (runtime) => { this.planner.start(runtime, getNow()) }, signal: this.abortController.signal })
    const regions = [...new Set(Object.values(settings.availabilityZones))]
    this.planner = new RegionPlanner({ ownRegion: this.own.region, regions, forward: this.forward, view: this.view, getNow })
    const logError = (error: Error): void => { log.logError('error on a port of this host', error) }
    this.socket = new PeerSocket(logError)
    this.peerExchange = new PeerExchange({ own: this.own, fleet: this.fleet, forward: this.forward, view: this.view, socket: this.socket, getNow, sleep: sleepFor, isLeaving, listLostZones: () => this.forward.links.listLostZones(), getDeclaredRevision: () => this.operatorService.revision, receivePosition: (position, notablePosition, now) => { this.follower.receivePeerPosition(position, notablePosition, now) }, observeStoreContact: (at) => { parts.health.observeContact(at) }, acceptRelayedChanges: (changes) => { this.follower.applyRelayedChanges(changes) }, receiveWatcherReport: (report, now) => { this.follower.receiveWatcherState(report.storePosition, report.notablePosition, report.storeAgeMs, now) } })
    this.allowances = new Allowances({ availabilityZone: this.own.availabilityZone, windowMs: settings.bounds.allowanceWindow, startedAt: getNow(), countHosts: () => this.view.countPossibleHosts(getNow()), isAggregator: (now) => this.view.isAggregator(now) })
    const shareMetrics = settings.fairShares ? metrics.createShareMetrics() : undefined
    const shares = shareMetrics === undefined ? undefined : createWorkShares({ own: this.own, view: this.view, fleet: this.fleet, log, shareMetrics, getNow })
    this.usageExchange = new UsageExchange({ own: this.own, view: this.view, allowances: this.allowances, shares, socket: this.socket, log, getNow, sleep: sleepFor })
    this.targetLoadExchange = new TargetLoadExchange({ own: this.own, fleet: this.fleet, view: this.view, loads: this.forward.targetLoads, socket: this.socket, getNow, sleep: sleepFor, logError }, this.abortController.signal)
    const { quarantine, exchange: suspectExchange } = createQuarantine({ own: this.own, view: this.view, socket: this.socket, store: adapter.store, codec: adapter.fleet, log, metrics, getNow, random }, this.abortController.signal)
    this.quarantine = quarantine
    this.suspectExchange = suspectExchange
    const clock = new SystemClock()
    const values = new StoreKeyValues(adapter.store, adapter.fleet.productPrefix)
    this.account = new AccountRecorder({ own: this.own, values, clock, log, random })
    this.operatorService = new LazyOperatorService({ own: this.own, availabilityZones: settings.availabilityZones, fleet: this.fleet, view: this.view, forward: this.forward, quarantine: this.quarantine, values, clock, logger: parts.logger, random, isLeaving }, this.abortController.signal)
    this.callers = new CallerServer((message, left, arrivedAt) => this.requestHandler.handle(message, left, arrivedAt), { guard: this.makeGuard(PortName.callers), turns: this.turns, memory: this.memory, logError, reportReadFailure: (report) => { this.reportReadFailure(report) } })
    this.plannedStop = new PlannedStop({ callers: this.callers, countCarried: () => this.carrierServer.countUnanswered(), graceMs: settings.bounds.stopGrace, getNow })
    this.requestHandler = new RequestHandler({ plannedStop: this.plannedStop, startedAt: getNow(), staleAfterMs: settings.bounds.configurationInForce, account: this.account, allowances: this.allowances, quarantine: this.quarantine, shares, shareMetrics, load: this.load, memory: this.memory, bodies: this.bodies, callerCodec: adapter.callers, targetCodec: adapter.targets, forward: this.forward, log, metrics, getNow, random })
    this.carrierServer = new CarrierServer({ guard: this.makeGuard(PortName.hosts), own: this.own, fleet: this.fleet, view: this.view, load: this.load, memory: this.memory, bodies: this.bodies, log, metrics, quarantine, announcements, codec: adapter.targets, pools: this.forward.pools, prober: this.forward.prober, roundTripTimes: this.forward.roundTripTimes, links: this.forward.links, isClosed: (target) => this.forward.isClosed(target), getNow, isLeaving, logError })
    this.lookups = new LookupAnswers({ codec: adapter.lookups, fleet: this.fleet, view: this.view, ownRegion: this.own.region, maxTtlMs: settings.bounds.longestLookupLife, log, getNow, isLeaving })
    this.follower = this.createFollower()
    adapter.store.era.handleReturn = () => {
      this.follower.handleStoreReturn()
      this.announcer.handleStoreReturn(this.fleet.listHosts().length)
      this.quarantine.handleStoreReturn()
      this.operatorService.handleStoreReturn()
      this.account.handleStoreReturn()
    }
    this.announcer = new HostAnnouncer({ store: adapter.store, codec: adapter.fleet, entry: this.own, log, random })
  }

  private createFollower (): FleetFollower {
    const { adapter, log, health, metrics, getNow, random } = this.parts
    return new FleetFollower({
      store: adapter.store,
      codec: adapter.fleet,
      fleet: this.fleet,
      health,
      log,
      getNow,
      random,
      sleep: sleepFor,
      ownName: this.own.name,
      boundMs: Math.min(this.parts.settings.bounds.configurationInForce, this.parts.settings.bounds.leavingInForce),
      isWatcher: () => this.view.isRepresentative(getNow()),
      isReliedOn: () => this.view.isLargeRegion(),
      hasReliableWatchers: () => this.view.hasReliableWatchers(this.parts.settings.bounds.leavingInForce, getNow()),
      handleRelayedChanges: (isApplied) => { metrics.countRelayedChanges(isApplied ? 'applied' : 'ignored') },
      relay: (changes) => { if (this.view.isRelay(getNow())) this.peerExchange.relay(changes) },
      handleOwnEntryRemoved: () => { this.announcer.restoreEntry() },
      handleDeclaredChange: (revision, body) => { this.operatorService.acceptChange(revision, body) },
      handleSuspectRecord: (record, position) => { this.quarantine.adoptRecord(record, position, getNow()) },
      handleSuspectRecordRemoved: (fingerprint) => { this.quarantine.dropRecord(fingerprint) },
      handleOmittedKeys: () => { this.operatorService.refresh() },
      handleConfiguration: () => {
        const { configuration } = this.fleet
        if (configuration === undefined) return
        this.callers.setLimits(configuration.limits)
        this.allowances.setOrganisations(configuration.organisations ?? [])
        metrics.setVersion(configuration.version)
      }
    })
  }

  /** Serves until the signal aborts, then performs a planned stop. Resolves with the number of requests left unanswered. */
  async run (signal: AbortSignal): Promise<number> {
    const { abortController } = this
    const leaving = new AbortController()
    setMaxListeners(MAX_ABORT_LISTENERS, abortController.signal, leaving.signal)
    await this.openPorts(abortController.signal)
    const tasks = this.startTasks(abortController.signal, leaving.signal)
    this.parts.log.report('host started', { incarnation: this.own.incarnation })
    await new Promise<void>((resolve) => {
      if (signal.aborted) resolve()
      signal.addEventListener('abort', () => { resolve() }, { once: true })
    })
    const unfinished = await this.stop(leaving)
    abortController.abort()
    // The kernel would go on sending requests that a link holds back after the end of the process.
    this.forward.pools.abortAll('host stopped')
    await tasks
    return unfinished
  }

  /**
   * Handles a suspension of the machine: ends the requests whose deadline has passed in the meantime and reads the changes
   * that were missed from the store.
   *
   * @param gapMs length of the suspension in milliseconds
   */
  handleGap (gapMs: number): void {
    this.parts.log.report('host was suspended', { gapMs: Math.round(gapMs) })
    this.requestHandler.expireRequests()
    this.follower.refresh('this host was suspended')
  }

  private async openPorts (signal: AbortSignal): Promise<void> {
    const { settings, log } = this.parts
    const logError = (error: Error): void => { log.logError('error on a port of this host', error) }
    const callers = splitAddress(settings.listen.callers)
    const readiness = splitAddress(settings.listen.readiness)
    const lookups = splitAddress(settings.listen.lookups)
    await this.callers.listen(callers.host, callers.port)
    await this.carrierServer.listen(this.own.ip, this.own.peerPort, signal)
    await this.socket.listen(this.own.ip, this.own.peerPort, (bytes, ip) => { this.handleDatagram(bytes, ip) }, signal)
    await listenForGet(readiness.host, readiness.port, this.makeGuard(PortName.readiness), (path) => this.lookups.answerReadiness(path), logError)
    await listenForGet(lookups.host, lookups.port, this.makeGuard(PortName.lookups), (path, query) => this.lookups.answerLookup(path, query), logError)
    const operators = createClientServer(this.makeGuard(PortName.operators), {}, (request, response) => { this.operatorService.answer(request, response) })
    await openServer(operators, `${this.own.ip}:${settings.peerPorts[1]}`)
    await listenForGet(settings.host.ip, settings.metrics.port, this.makeGuard(PortName.metrics), async (path) => path === settings.metrics.path
      ? { status: 200, type: 'text/plain', body: await this.renderMetrics() }
      : { status: 404, type: 'text/plain', body: '' }, logError)
  }

  private makeGuard (port: PortName): ClientGuardParts {
    const { settings, log, metrics, getNow } = this.parts
    return {
      port,
      limits: computeClientLimits(port, settings.limits),
      reportClosure: (closure) => {
        metrics.countClosedClient(port, closure.reason)
        log.record('connection of a client closed', closure)
      },
      getNow
    }
  }

  private renderMetrics (): Promise<string> {
    const { metrics } = this.parts
    const running = [...this.fleet.listAllTargets()].reduce((sum, { inFlight }) => sum + inFlight, 0)
    metrics.setReportedVersion(this.fleet.reportedVersion)
    metrics.setInProgress({ heldBytes: this.memory.heldBytes, bodyBytes: this.bodies.heldBytes, unanswered: this.callers.countUnanswered(), running })
    return metrics.render()
  }

  private handleDatagram (bytes: Uint8Array, ip: string): void {
    const message = decodeDatagram(bytes)
    if (message?.kind === 'load') this.peerExchange.handleReport(message.report, ip)
    if (message?.kind === 'use') this.usageExchange.handleReport(message.report, ip)
    if (message?.kind === 'target-loads') this.targetLoadExchange.handleReport(message.report, ip)
    if (message?.kind === 'suspects') this.suspectExchange.handleReport(message.report, ip)
  }

  private observeFailure (target: TargetState, failure: ConnectFailure, isUnconnected: boolean): void {
    const now = this.parts.getNow()
    const contactAgeMs = target.computeContactAge(now)
    this.parts.metrics.countConnectFailure(target.entry.region, failure)
    this.parts.log.record('connection to a target failed', { target: target.entry.id, availabilityZone: target.entry.availabilityZone, failure, isUnconnected, contactAgeMs: contactAgeMs === Infinity ? undefined : Math.round(contactAgeMs) })
  }

  private reportReadFailure ({ failure, waiting, ip }: ReadFailureReport): void {
    this.parts.metrics.countReadFailure(failure)
    this.parts.log.record('request could not be read', { failure, waiting, ip })
  }

  private startTasks (signal: AbortSignal, leaving: AbortSignal): Promise<unknown> {
    return Promise.all([this.follower.run(signal), this.announcer.run(leaving), this.peerExchange.run(signal), this.usageExchange.run(signal), this.planner.run(signal), this.closeIdleConnections(signal), this.account.run(leaving), runLoadSampler({ load: this.load, turns: this.turns, handleSample: (now) => { this.forward.links.probeTargets(now) }, ...this.parts }, signal)])
  }

  private async closeIdleConnections (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleepFor(IDLE_CHECK_INTERVAL_MS, signal)
      this.forward.pools.closeIdle(this.parts.getNow())
    }
  }

  // Callers cache look-up answers for some seconds, so requests still arrive after the stop signal. They are served, and each
  // answer closes its connection, so that the caller reconnects to another host.
  private async stop (leaving: AbortController): Promise<number> {
    const { getNow, log } = this.parts
    this.isLeaving = true
    this.peerExchange.announce()
    leaving.abort()
    log.report('planned stop', { unanswered: this.callers.countUnanswered() })
    await this.plannedStop.run()
    const unfinished = this.callers.countUnanswered()
    const unwrittenPages = await this.account.finish(Math.min(MAX_ACCOUNT_FLUSH_MS, this.plannedStop.endsAt - getNow()))
    log.report('host stopped', { unfinished, unwrittenPages })
    return unfinished
  }
}
