import type { Random } from '../../../request/random.js'
import { chooseOwners } from '../chooseOwners.js'
import type { RosterHost } from '../rosterHost.js'
import { ModelHost } from './modelHost.js'
import { ModelWorld } from './modelWorld.js'
import { TargetWork } from './targetWork.js'
import type { WorldOptions } from './worldOptions.js'

const ZONE = 'akl-a'

/** Simulates the entry hosts of one zone and their targets. */
export class SlotWorld extends ModelWorld<ModelHost> {
  readonly work = new Map<string, TargetWork>()
  /** Maximum number of requests that ran concurrently on one target so far. */
  highest = 0

  constructor (seed: number, options: WorldOptions) {
    super(seed, options, [ZONE])
    for (let index = 0; index < options.targets; index += 1) this.work.set(`t${index}`, new TargetWork())
    for (let index = 0; index < options.hosts; index += 1) this.addHost({ name: `h${index}`, incarnation: 1 }, ZONE)
  }

  /** Whether the live hosts may together use all slots of every target. */
  isWholeUsable (): boolean {
    return [...this.work.keys()].every((target) => this.live.reduce((sum, host) => sum + host.countUsable(target, this.real), 0) === this.options.slots)
  }

  findOwner (target: string): ModelHost {
    const { owner } = chooseOwners(`${ModelHost.service}/${target}`, this.getRoster(ZONE))
    return this.find(owner!.name)!
  }

  protected createHost (self: RosterHost, zone: string, random: Random): ModelHost {
    return new ModelHost(self, zone, this.options, random, this.work)
  }

  protected advanceHost (host: ModelHost): void {
    host.advance(this.real)
    this.measure()
    if (this.random() < 0.5) this.sendRenewals(host)
  }

  protected measure (): void {
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
}
