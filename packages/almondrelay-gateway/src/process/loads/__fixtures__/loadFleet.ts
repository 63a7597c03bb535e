import type { TargetAnswerHead } from '../../../request/targetAnswerHead.js'
import type { TargetEntry } from '../../../request/targetEntry.js'
import { FleetState } from '../../fleet/fleetState.js'
import type { HostEntry } from '../../fleet/hostEntry.js'
import { decodeDatagram } from '../../peers/decodeDatagram.js'
import { PeerView } from '../../peers/peerView.js'
import { makeAnswerHead } from '../../../connection/__fixtures__/makeAnswerHead.js'
import { TargetLoadExchange } from '../targetLoadExchange.js'
import { TargetLoads } from '../targetLoads.js'

const STEP_MS = 10
const DATAGRAM_HEADERS = 28
/** Milliseconds between two load reports of a host, which show that it is alive. */
const REPORT_INTERVAL_MS = 500

interface FleetHost {
  entry: HostEntry
  fleet: FleetState
  view: PeerView
  loads: TargetLoads
  exchange: TargetLoadExchange
  bytes: number
  sequence: number
  /** Neither runs nor receives anything, as a process that was stopped. */
  isStopped: boolean
}

/** Hosts of several zones in one region that exchange statements in virtual time, without network. */
export class LoadFleet {
  readonly hosts: FleetHost[] = []
  now = 100_000
  datagrams = 0
  /** Whether a datagram between two hosts is lost. */
  isLost: (from: string, to: string) => boolean = () => false
  private readonly waiting: Array<{ at: number, host: FleetHost, resume: () => void }> = []
  private readonly abortController = new AbortController()

  constructor (zones: number, hostsPerZone: number, targets: number) {
    const entries = Array.from({ length: zones * hostsPerZone }, (_, index): HostEntry => {
      const zone = Math.floor(index / hostsPerZone)
      return { name: `front-akl-${zone}-${String(index % hostsPerZone).padStart(2, '0')}`, incarnation: `1764810000000-${index}`, availabilityZone: `akl-${zone}`, region: 'akl', ip: `10.0.${zone}.${index}`, callerPort: 1, peerPort: 2 }
    })
    for (const entry of entries) this.addHost(entry, entries, targets)
  }

  /** A target answers a host with the given speed. */
  answer (host: number, target: number, load: Partial<NonNullable<TargetAnswerHead['load']>>): void {
    const { fleet, loads } = this.find(host)
    const state = fleet.findTarget(`target-${target}`)
    if (state !== undefined) loads.observeAnswer(state, makeAnswerHead({ isGenuine: true, load: { running: 1, waiting: 0, slots: 3, speedPercent: 100, ...load } }), this.now)
  }

  find (index: number): FleetHost {
    return this.hosts[index] as FleetHost
  }

  getSlowness (host: number, target: number): number | undefined {
    return this.find(host).fleet.findTarget(`target-${target}`)?.findStated(this.now)?.getSlowness(this.now)
  }

  /** Lets time pass; `handleStep` is called every 10 ms. */
  async advance (ms: number, handleStep: () => void = () => undefined): Promise<void> {
    for (const endsAt = this.now + ms; this.now < endsAt;) {
      this.now += STEP_MS
      if (this.now % REPORT_INTERVAL_MS < STEP_MS) this.reportAll()
      handleStep()
      const due = this.waiting.filter(({ at, host }) => at <= this.now && !host.isStopped)
      for (const wait of due) this.waiting.splice(this.waiting.indexOf(wait), 1)
      for (const { resume } of due) resume()
      // A loop that resumes takes several turns of promises until it waits again.
      for (let turn = 0; turn < 5; turn += 1) await Promise.resolve()
    }
  }

  /** Delivers a datagram to a host as from the given address. */
  pass (bytes: Uint8Array, to: FleetHost, ip: string): void {
    const message = decodeDatagram(bytes)
    if (message?.kind === 'target-loads' && !to.isStopped) to.exchange.handleReport(message.report, ip)
  }

  get isIdle (): boolean {
    return this.waiting.length === 0
  }

  private addHost (entry: HostEntry, entries: readonly HostEntry[], targets: number): void {
    const fleet = new FleetState({ targetAdded: () => undefined, targetRemoved: () => undefined, targetRestarted: () => undefined, hostRemoved: () => undefined })
    for (const each of entries) fleet.putHost(each)
    for (let index = 0; index < targets; index += 1) fleet.putTarget(makeEntry(index), this.now)
    fleet.isComplete = true
    const view = new PeerView(entry, fleet)
    const loads = new TargetLoads({ fleet, metrics: { observeStatementAge: () => undefined, countStatementChoice: () => undefined } })
    const socket = { send: (bytes: Uint8Array, ip: string) => { this.send(entry, bytes, ip) } }
    const host: FleetHost = { entry, fleet, view, loads, exchange: undefined as unknown as TargetLoadExchange, bytes: 0, sequence: 0, isStopped: false }
    host.exchange = new TargetLoadExchange({ own: entry, fleet, view, loads, socket, getNow: () => this.now, sleep: (ms) => new Promise((resolve) => { this.waiting.push({ at: this.now + ms, host, resume: resolve }) }), logError: (error) => { throw error } }, this.abortController.signal)
    this.hosts.push(host)
  }

  private send (from: HostEntry, bytes: Uint8Array, ip: string): void {
    const sender = this.hosts.find(({ entry }) => entry.name === from.name)
    const receiver = this.hosts.find(({ entry }) => entry.ip === ip)
    if (sender === undefined || receiver === undefined) return
    sender.bytes += bytes.byteLength + DATAGRAM_HEADERS
    this.datagrams += 1
    if (!this.isLost(from.name, receiver.entry.name)) this.pass(bytes, receiver, from.ip)
  }

  private reportAll (): void {
    for (const { entry, view, isStopped } of this.hosts) {
      // A host looks at the live hosts with each request; from its first look on, an entry alone counts for some seconds.
      view.listLive(this.now)
      if (isStopped) continue
      const report = { host: entry.name, incarnation: entry.incarnation, region: entry.region, sequence: this.now, isLeaving: false, configurationVersion: 1, storePosition: { era: 0, revision: 1 }, declaredRevision: 0, notablePosition: { era: 0, revision: 1 }, storeAgeMs: 0, isRegional: false, inFlight: new Map(), demands: [], requestLimits: [], leavingTargets: [], lostZones: [], silentHosts: [], changes: undefined }
      for (const receiver of this.hosts) {
        const { name } = receiver.entry
        if (name !== entry.name && !receiver.isStopped && !this.isLost(entry.name, name)) receiver.view.receiveReport(report, this.now)
      }
    }
  }
}

const makeEntry = (index: number): TargetEntry => ({ id: `target-${index}`, incarnation: 1, sequence: 1, service: 'balances', ip: '10.9.0.1', port: 1_000 + index, availabilityZone: 'akl-0', region: 'akl', slots: 3, draining: false, coldForMs: 0 })
