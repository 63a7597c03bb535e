import { createSeededRandom } from '../../../request/createSeededRandom.js'
import type { Random } from '../../../request/random.js'
import { chooseOwners } from '../chooseOwners.js'
import type { Roster } from '../roster.js'
import type { RosterHost } from '../rosterHost.js'
import { ModelHost } from './modelHost.js'
import { TargetWork } from './targetWork.js'
import type { WorldOptions } from './worldOptions.js'
import type { WorldStep } from './worldStep.js'

interface Delivery {
  at: number
  to: ModelHost
  from: ModelHost | undefined
  receive: () => void
}

const QUANTUM_MS = 20
/** Longest time until a host hears of a roster or of another's death while it can hear at all. */
const NEWS_MS = 600
const LATE_MS = 4_000

/** One zone of entry hosts, its targets and the faults between them, in virtual time. */
export class SlotWorld {
  real = 0
  roster: Roster = { version: 0, availabilityZone: 'akl-a', hosts: [] }
  readonly hosts: ModelHost[] = []
  readonly work = new Map<string, TargetWork>()
  /** Most requests that ran at once on one target so far. */
  highest = 0
  takesWork = true
  private readonly random: Random
  private deliveries: Delivery[] = []
  private cuts = new Map<string, number>()
  private platformUp = true
  private faultChance: number

  constructor (seed: number, private readonly options: WorldOptions) {
    this.random = createSeededRandom(seed)
    this.faultChance = options.faultChance
    for (let index = 0; index < options.targets; index += 1) this.work.set(`t${index}`, new TargetWork())
    for (let index = 0; index < options.hosts; index += 1) this.addHost({ name: `h${index}`, incarnation: 1 })
  }

  get live (): ModelHost[] {
    return this.hosts.filter((host) => host.alive)
  }

  apply (step: WorldStep): void {
    const host = this.live[step.host % this.live.length]!
    const other = this.live[step.other % this.live.length]!
    if (step.kind === 'pause') host.pausedUntil = this.real + step.faultMs
    if (step.kind === 'cut') this.cuts.set(this.makePair(host, other), this.real + step.faultMs)
    if (step.kind === 'kill') this.killHost(host, step.faultMs % 2 === 0)
    if (step.kind === 'join' && this.live.length < this.options.hosts + 1) this.addHost({ name: `j${this.hosts.length}`, incarnation: 1 })
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

  /** No more faults of messages either. */
  stopFaults (): void {
    this.clearFaults()
    this.faultChance = 0
  }

  /** Whether the live hosts may together use all slots of every target. */
  isWholeUsable (): boolean {
    return [...this.work.keys()].every((target) => this.live.reduce((sum, host) => sum + host.countUsable(target, this.real), 0) === this.options.slots)
  }

  findOwner (target: string): ModelHost {
    const { owner } = chooseOwners(`${ModelHost.service}/${target}`, this.roster)
    return this.find(owner!.name)!
  }

  run (ms: number): void {
    const until = this.real + ms
    while (this.real < until) {
      this.real += QUANTUM_MS
      this.publish()
      this.receiveDue()
      this.pickOrder(this.live).filter((host) => host.isAwake(this.real)).forEach((host) => this.advanceHost(host))
      this.measure()
    }
  }

  private advanceHost (host: ModelHost): void {
    host.advance(this.real, this.takesWork)
    this.measure()
    if (this.random() < 0.5) this.sendRenewals(host)
    if (this.random() < 0.2) this.sendClaims(host)
    if (this.platformUp && this.random() < 0.1 && this.roster.version > 0) host.adoptRoster(this.roster, this.real)
  }

  private measure (): void {
    for (const target of this.work.values()) this.highest = Math.max(this.highest, target.count(this.real))
  }

  private sendRenewals (host: ModelHost): void {
    for (const request of host.slots.planRenewals(host.computeNow(this.real))) {
      const standby = this.find(request.standby)
      if (standby === undefined) continue
      this.send(host, standby, () => {
        const { granted } = standby.slots.grantLeases(host.self, request.leases, standby.computeNow(this.real))
        this.send(standby, host, () => {
          const sentAt = this.options.guardOff === 'termFromSending' ? host.computeNow(this.real) : request.sentAt
          host.slots.acceptGrant({ ...request, sentAt }, granted)
        })
      })
    }
  }

  private sendClaims (host: ModelHost): void {
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

  private send (from: ModelHost, to: ModelHost, receive: () => void): void {
    if (this.random() < this.faultChance) return
    const copies = this.random() < this.faultChance ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const late = this.random() < this.faultChance
      this.deliveries.push({ at: this.real + this.random() * (late ? LATE_MS : 2 * QUANTUM_MS), from, to, receive })
    }
  }

  private receiveDue (): void {
    const due = this.deliveries.filter((each) => each.at <= this.real && each.to.isAwake(this.real))
    this.deliveries = this.deliveries.filter((each) => !due.includes(each) && each.to.alive)
    due.filter((each) => each.from === undefined || !this.isCut(each.from, each.to)).forEach((each) => each.receive())
  }

  /** A process dies, its requests run on; its peers get evidence each in its own time; it may start again. */
  private killHost (host: ModelHost, startsAgain: boolean): void {
    if (this.live.length < 2) return
    host.alive = false
    for (const peer of this.live) {
      const receive = (): void => peer.slots.markGone(host.self.name, host.self.incarnation, peer.computeNow(this.real))
      if (this.random() < 0.8) this.deliveries.push({ at: this.real + this.random() * NEWS_MS, from: undefined, to: peer, receive })
    }
    if (startsAgain) this.addHost({ name: host.self.name, incarnation: host.self.incarnation + 1 })
  }

  private addHost (self: RosterHost): void {
    this.hosts.push(new ModelHost(self, this.options, this.work, createSeededRandom(Math.floor(this.random() * 2 ** 31))))
  }

  /** The roster follows joins and losses, one a write, while the platform can be written. */
  private publish (): void {
    if (!this.platformUp || this.random() < 0.7) return
    const isLive = (member: RosterHost): boolean => this.live.some((host) => host.self.name === member.name && host.self.incarnation === member.incarnation)
    const isMember = (host: ModelHost): boolean => this.roster.hosts.some((member) => member.name === host.self.name && member.incarnation === host.self.incarnation)
    const lost = this.roster.hosts.find((member) => !isLive(member))
    const joining = this.live.find((host) => !isMember(host))
    if (lost === undefined && joining === undefined) return
    const kept = this.roster.hosts.filter((member) => member !== lost)
    const hosts = lost === undefined ? [...kept, joining!.self] : kept
    this.roster = { ...this.roster, version: this.roster.version + 1, hosts }
  }

  private find (name: string): ModelHost | undefined {
    return this.live.find((host) => host.self.name === name)
  }

  private isCut (left: ModelHost, right: ModelHost): boolean {
    return (this.cuts.get(this.makePair(left, right)) ?? -Infinity) > this.real
  }

  private makePair (left: ModelHost, right: ModelHost): string {
    return [left.self.name, right.self.name].sort().join('|')
  }

  private pickOrder (hosts: ModelHost[]): ModelHost[] {
    return hosts.map((host) => ({ host, at: this.random() })).sort((left, right) => left.at - right.at).map(({ host }) => host)
  }
}
