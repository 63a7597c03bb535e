import { LimitKind } from '../limitKind.js'
import type { Configuration } from '../../../version/configuration.js'
import type { Random } from '../../../request/random.js'
import { listLimits } from '../listLimits.js'
import { RegionLender } from '../regionLender.js'
import { RegionLimits } from '../regionLimits.js'
import type { RosterHost } from '../rosterHost.js'
import { SimulatedProcess } from './simulatedProcess.js'
import type { TargetWork } from './targetWork.js'
import type { SimulationOptions } from './simulationOptions.js'

interface Running {
  holder: string
  endsAt: number
}

const REGION = 'wlg'
const ROUTE = { service: 's', fromRegion: 'akl', toRegion: REGION }

/** A simulated entry host of the receiving region: starts all the work that the limits admit. */
export class RegionHost extends SimulatedProcess {
  static readonly region = REGION
  static readonly limitName = `${LimitKind.region}/${REGION}`
  readonly limits: RegionLimits
  readonly lender: RegionLender
  /** Whether work is offered. */
  busy = true
  private running: Running[] = []
  private sequence = 0

  constructor (self: RosterHost, availabilityZone: string, options: SimulationOptions, random: Random, private readonly work: TargetWork) {
    super(self, availabilityZone, options, random)
    this.limits = new RegionLimits({ host: self.name, incarnation: self.incarnation, availabilityZone, region: REGION }, this.slots.claims, options.limits)
    this.lender = new RegionLender(self, options.limits)
  }

  adoptConfiguration (configuration: Configuration, real: number): void {
    this.limits.adoptConfiguration(configuration, this.options.maxDeadlineMs, this.computeNow(real))
    this.lender.adoptLimits(listLimits(configuration, REGION), 2, this.options.maxDeadlineMs)
  }

  override markGone (gone: RosterHost, real: number): void {
    super.markGone(gone, real)
    this.limits.markGone(gone.name, gone.incarnation, this.computeNow(real))
    this.lender.markGone(gone, this.computeNow(real))
  }

  /** Counts the requests that this host runs or may start now. */
  countUsable (real: number): number {
    return this.limits.countRunning(RegionHost.limitName) + this.limits.countFree(ROUTE, this.computeNow(real))
  }

  advance (real: number): void {
    const now = this.computeNow(real)
    this.running.filter((each) => each.endsAt <= real).forEach((each) => this.limits.release(each.holder, now))
    this.running = this.running.filter((each) => each.endsAt > real)
    while (this.busy && this.random() < 0.8 && this.begin(real)) ;
  }

  private begin (real: number): boolean {
    this.sequence += 1
    const now = this.computeNow(real)
    const holder = `${this.self.name}/${this.sequence}`
    const runsUntil = now + this.computeDeadline()
    if (!this.limits.acquire(ROUTE, holder, runsUntil, now).allowed) return false
    const longest = this.computeLongest(runsUntil, real)
    const endsAt = real + (this.random() < 0.5 ? longest : longest * this.random())
    this.work.begin(real, endsAt)
    this.running.push({ holder, endsAt })
    return true
  }
}
