import { createSeededRandom } from '../../../request/createSeededRandom.js'
import type { Random } from '../../../request/random.js'
import type { Roster } from '../roster.js'
import type { RosterHost } from '../rosterHost.js'
import type { SimulatedProcess } from './simulatedProcess.js'
import type { SimulationOptions } from './simulationOptions.js'
import type { SimulationStep } from './simulationStep.js'

interface Delivery {
  at: number
  to: SimulatedProcess
  from: SimulatedProcess | undefined
  receive: () => void
}

/** Maximum time until a reachable host receives evidence that another host is gone. */
const MAX_EVIDENCE_DELAY_MS = 600
const LATE_MS = 4_000

/** Simulates the processes of some zones, the faults between them and the messages that they exchange, in virtual time. */
export abstract class ZoneSimulation<Host extends SimulatedProcess> {
  static readonly quantumMs = 20
  real = 0
  readonly hosts: Host[] = []
  protected readonly random: Random
  protected platformUp = true
  private readonly rosters = new Map<string, Roster>()
  private deliveries: Delivery[] = []
  private readonly cuts = new Map<string, number>()
  private faultChance: number

  constructor (seed: number, protected readonly options: SimulationOptions, private readonly zones: readonly string[]) {
    this.random = createSeededRandom(seed)
    this.faultChance = options.faultChance
    for (const zone of zones) this.rosters.set(zone, { version: 0, availabilityZone: zone, hosts: [], lastLossVersion: 0 })
  }

  get live (): Host[] {
    return this.hosts.filter((host) => host.alive)
  }

  apply (step: SimulationStep): void {
    const host = this.live[step.host % this.live.length]!
    const other = this.live[step.other % this.live.length]!
    if (step.kind === 'pause') host.pausedUntil = this.real + step.faultMs
    if (step.kind === 'cut') this.cuts.set(this.makePair(host, other), this.real + step.faultMs)
    if (step.kind === 'kill') this.killHost(host, step.faultMs % 2 === 0)
    if (step.kind === 'join' && this.live.length < this.options.hosts * this.zones.length + 1) this.addHost({ name: `j${this.hosts.length}`, incarnation: 1 }, host.availabilityZone)
    if (step.kind === 'platformDown') this.platformUp = false
    if (step.kind === 'platformUp') this.platformUp = true
    if (step.kind === 'mend') this.clearFaults()
    this.run(step.ms)
  }

  /** Ends every fault. */
  clearFaults (): void {
    this.cuts.clear()
    this.platformUp = true
    this.live.forEach((host) => { host.pausedUntil = this.real })
  }

  /** Ends every fault and stops message faults. */
  stopFaults (): void {
    this.clearFaults()
    this.faultChance = 0
  }

  run (ms: number): void {
    const until = this.real + ms
    while (this.real < until) {
      this.real += ZoneSimulation.quantumMs
      this.zones.forEach((zone) => this.publish(zone))
      this.receiveDue()
      for (const host of this.pickOrder(this.live).filter((each) => each.isAwake(this.real))) {
        this.advanceHost(host)
        if (this.random() < 0.2) this.sendClaims(host)
        if (this.platformUp && this.random() < 0.1) this.adoptRoster(host)
        this.measure()
      }
      this.measure()
    }
  }

  protected abstract advanceHost (host: Host): void
  protected abstract measure (): void
  protected abstract createHost (self: RosterHost, zone: string, random: Random): Host

  protected getRoster (zone: string): Roster {
    return this.rosters.get(zone)!
  }

  protected addHost (self: RosterHost, zone: string): void {
    this.hosts.push(this.createHost(self, zone, createSeededRandom(Math.floor(this.random() * 2 ** 31))))
  }

  protected find (name: string): Host | undefined {
    return this.live.find((host) => host.self.name === name)
  }

  protected send (from: Host, to: Host, receive: () => void): void {
    if (this.random() < this.faultChance) return
    const copies = this.random() < this.faultChance ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const late = this.random() < this.faultChance
      this.deliveries.push({ at: this.real + this.random() * (late ? LATE_MS : 2 * ZoneSimulation.quantumMs), from, to, receive })
    }
  }

  /** Calls the platform; the answer may be lost after the call took effect. */
  protected askPlatform (call: () => void, answer: () => void): void {
    if (!this.platformUp || this.random() < this.faultChance) return
    call()
    if (this.random() >= this.faultChance) answer()
  }

  private adoptRoster (host: Host): void {
    const roster = this.getRoster(host.availabilityZone)
    if (roster.version > 0) host.slots.adoptRoster(roster, host.computeNow(this.real))
  }

  private sendClaims (host: Host): void {
    for (const { host: name, claim } of host.slots.claims.planClaims(host.computeNow(this.real))) {
      const other = this.find(name)
      if (other === undefined) continue
      if (this.options.guardOff === 'claims') {
        host.slots.claims.acceptAnswer(claim, { ...claim, from: other.self, binding: true, held: [], handedOver: [] }, host.computeNow(this.real))
        continue
      }
      this.send(host, other, () => {
        const answer = other.slots.claims.handleClaim(host.self, claim, other.computeNow(this.real))
        this.send(other, host, () => host.slots.claims.acceptAnswer(claim, answer, host.computeNow(this.real)))
      })
    }
  }

  private receiveDue (): void {
    const due = this.deliveries.filter((each) => each.at <= this.real && each.to.isAwake(this.real))
    this.deliveries = this.deliveries.filter((each) => !due.includes(each) && each.to.alive)
    due.filter((each) => each.from === undefined || !this.isCut(each.from, each.to)).forEach((each) => each.receive())
  }

  /** Kills a process while its requests run on. Each peer receives the evidence after a delay of its own, if at all; the process may start again. */
  private killHost (host: Host, startsAgain: boolean): void {
    if (this.live.length < 2) return
    host.alive = false
    for (const peer of this.live) {
      const receive = (): void => peer.markGone(host.self, this.real)
      if (this.random() < 0.8) this.deliveries.push({ at: this.real + this.random() * MAX_EVIDENCE_DELAY_MS, from: undefined, to: peer, receive })
    }
    if (startsAgain) this.addHost({ name: host.self.name, incarnation: host.self.incarnation + 1 }, host.availabilityZone)
  }

  /** Updates a zone's roster after joins and losses, one change per write, while the platform accepts writes. */
  private publish (zone: string): void {
    if (!this.platformUp || this.random() < 0.7) return
    const roster = this.getRoster(zone)
    const live = this.live.filter((host) => host.availabilityZone === zone)
    const isSame = (host: Host, member: RosterHost): boolean => host.self.name === member.name && host.self.incarnation === member.incarnation
    const lost = roster.hosts.find((member) => !live.some((host) => isSame(host, member)))
    const joining = live.find((host) => !roster.hosts.some((member) => isSame(host, member)))
    if (lost === undefined && joining === undefined) return
    const kept = roster.hosts.filter((member) => member !== lost)
    const hosts = lost === undefined ? [...kept, joining!.self] : kept
    const version = roster.version + 1
    this.rosters.set(zone, { ...roster, version, hosts, lastLossVersion: lost === undefined ? roster.lastLossVersion! : version })
  }

  private isCut (left: SimulatedProcess, right: SimulatedProcess): boolean {
    return (this.cuts.get(this.makePair(left, right)) ?? -Infinity) > this.real
  }

  private makePair (left: SimulatedProcess, right: SimulatedProcess): string {
    return [left.self.name, right.self.name].sort().join('|')
  }

  private pickOrder (hosts: Host[]): Host[] {
    return hosts.map((host) => ({ host, at: this.random() })).sort((left, right) => left.at - right.at).map(({ host }) => host)
  }
}
