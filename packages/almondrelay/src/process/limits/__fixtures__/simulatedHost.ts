import type { Random } from '../../../request/random.js'
import type { Credit } from '../credit.js'
import type { RosterHost } from '../rosterHost.js'
import { SimulatedProcess } from './simulatedProcess.js'
import type { TargetWork } from './targetWork.js'
import type { SimulationOptions } from './simulationOptions.js'

interface Running {
  holder: string
  endsAt: number
}

interface Unsent {
  holder: string
  target: string
  runsUntil: number
}

const SERVICE = 's'

/** A simulated entry host: takes all the work that its slots allow, and sends some of it late. */
export class SimulatedHost extends SimulatedProcess {
  static readonly service = SERVICE
  private running: Running[] = []
  private unsent: Unsent[] = []
  private credits: Credit[] = []
  private sequence = 0

  constructor (self: RosterHost, availabilityZone: string, options: SimulationOptions, random: Random, private readonly work: Map<string, TargetWork>) {
    super(self, availabilityZone, options, random)
    const targets = [...work.keys()].map((name) => ({ name, address: '127.0.0.1:9', availabilityZone, slots: options.slots, connections: 10 }))
    this.slots.adoptTargets(SERVICE, targets, options.maxDeadlineMs, this.computeNow(0))
  }

  /** Counts the slots that this host may use on a target, including those in use. */
  countUsable (target: string, real: number): number {
    const now = this.computeNow(real)
    const busy = [...this.running, ...this.unsent].filter((each) => each.holder.startsWith(`${target}/`)).length
    return (this.slots.getFree(SERVICE, now).get(target) ?? 0) + busy + this.credits.filter((credit) => credit.target === target && credit.expiresAt > now).length
  }

  /** Releases the slots of ended work, sends the delayed requests and takes the free slots. */
  advance (real: number): void {
    const now = this.computeNow(real)
    this.running.filter((each) => each.endsAt <= real).forEach((each) => this.slots.release(each.holder, now))
    this.running = this.running.filter((each) => each.endsAt > real)
    this.unsent.splice(0).forEach((each) => this.send(each, real))
    this.useCredits(real)
    this.fill(real)
  }

  private fill (real: number): void {
    const now = this.computeNow(real)
    if (this.random() < 0.1) this.credits.push(...this.slots.grantCredits(SERVICE, 'elsewhere', 2, now))
    for (const [target, free] of this.slots.getFree(SERVICE, now)) {
      for (let count = 0; count < free && this.random() < 0.9; count += 1) {
        const request = this.makeRequest(target, now)
        if (this.slots.acquire(SERVICE, target, request.holder, request.runsUntil, now)) this.offer(request, real)
      }
    }
  }

  private useCredits (real: number): void {
    const now = this.computeNow(real)
    for (const credit of this.credits.splice(0)) {
      if (this.random() < 0.5 && now < credit.expiresAt) {
        this.credits.push(credit)
        continue
      }
      const request = this.makeRequest(credit.target, now)
      const used = this.slots.useCredit(credit.id, request.holder, request.runsUntil, now)
      if (used !== undefined) this.offer(request, real)
    }
  }

  private makeRequest (target: string, now: number): Unsent {
    this.sequence += 1
    return { holder: `${target}/${this.self.name}/${this.sequence}`, target, runsUntil: now + this.computeDeadline() }
  }

  /** Sends the request now, or only when this host advances again, which may be after a pause. */
  private offer (request: Unsent, real: number): void {
    if (this.random() < 0.8) this.send(request, real)
    else this.unsent.push(request)
  }

  private send (request: Unsent, real: number): void {
    const now = this.computeNow(real)
    if (now >= request.runsUntil) {
      this.slots.release(request.holder, now)
      return
    }
    const longest = this.computeLongest(request.runsUntil, real)
    const endsAt = real + (this.random() < 0.5 ? longest : longest * this.random())
    this.work.get(request.target)?.begin(real, endsAt)
    this.running.push({ holder: request.holder, endsAt })
  }
}
