import type { Random } from '../../../request/random.js'
import { HostSlots } from '../hostSlots.js'
import type { RosterHost } from '../rosterHost.js'
import type { SimulationOptions } from './simulationOptions.js'

/** A simulated process with its own monotonic clock. */
export abstract class SimulatedProcess {
  readonly slots: HostSlots
  pausedUntil = -Infinity
  alive = true
  private readonly offset: number
  private readonly rate: number

  constructor (readonly self: RosterHost, readonly availabilityZone: string, protected readonly options: SimulationOptions, protected readonly random: Random) {
    this.offset = random() * 1_000_000
    this.rate = 1 + (random() < 0.5 ? -1 : 1) * options.clockSpread
    this.slots = new HostSlots({ host: self.name, incarnation: self.incarnation, availabilityZone }, options.limits)
  }

  /** Computes this process's monotonic clock at a real time. */
  computeNow (real: number): number {
    return this.offset + real * this.rate
  }

  isAwake (real: number): boolean {
    return this.alive && real >= this.pausedUntil
  }

  /** Records definitive evidence that another process is gone. */
  markGone (gone: RosterHost, real: number): void {
    this.slots.markGone(gone.name, gone.incarnation, this.computeNow(real))
  }

  /** Computes the longest real time for which a request with a deadline may run on a target, which has its own clock. */
  protected computeLongest (runsUntil: number, real: number): number {
    const targetRate = 1 + this.options.clockSpread * (this.random() < 0.5 ? -1 : 1)
    return (runsUntil - this.computeNow(real)) / targetRate
  }

  protected computeDeadline (): number {
    const { maxDeadlineMs } = this.options
    return this.random() < 0.5 ? maxDeadlineMs : 1 + this.random() * (maxDeadlineMs - 1)
  }
}
