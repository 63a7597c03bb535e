import type { Random } from '../../../request/random.js'
import { chooseOwners } from '../chooseOwners.js'
import type { RosterHost } from '../rosterHost.js'
import { SimulatedHost } from './simulatedHost.js'
import { ZoneSimulation } from './zoneSimulation.js'
import { TargetWork } from './targetWork.js'
import type { SimulationOptions } from './simulationOptions.js'

const ZONE = 'akl-a'

/** Simulates the entry hosts of one zone and their targets. */
export class SlotSimulation extends ZoneSimulation<SimulatedHost> {
  readonly work = new Map<string, TargetWork>()
  /** Maximum number of requests that ran concurrently on one target so far. */
  maxConcurrent = 0

  constructor (seed: number, options: SimulationOptions) {
    super(seed, options, [ZONE])
    for (let index = 0; index < options.targets; index += 1) this.work.set(`t${index}`, new TargetWork())
    for (let index = 0; index < options.hosts; index += 1) this.addHost({ name: `h${index}`, incarnation: 1 }, ZONE)
  }

  /** Whether the live hosts may together use all slots of every target. */
  isFullyUsable (): boolean {
    return [...this.work.keys()].every((target) => this.live.reduce((sum, host) => sum + host.countUsable(target, this.real), 0) === this.options.slots)
  }

  findOwner (target: string): SimulatedHost {
    const { owner } = chooseOwners(`${SimulatedHost.service}/${target}`, this.getRoster(ZONE))
    return this.find(owner!.name)!
  }

  protected createHost (self: RosterHost, zone: string, random: Random): SimulatedHost {
    return new SimulatedHost(self, zone, this.options, random, this.work)
  }

  protected advanceHost (host: SimulatedHost): void {
    host.advance(this.real)
    this.measure()
    if (this.random() < 0.5) this.sendRenewals(host)
  }

  protected measure (): void {
    for (const target of this.work.values()) this.maxConcurrent = Math.max(this.maxConcurrent, target.count(this.real))
  }

  private sendRenewals (host: SimulatedHost): void {
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
}
