import { HostSlots } from '../hostSlots.js'
import type { RosterHost } from '../rosterHost.js'
import { LimitStrategy } from './limitStrategy.js'

const ZONE = 'akl-a'
const SERVICE = 's'
const RENEW_MS = 250
const MAX_DEADLINE_MS = 10_000

/** Owners, standbys and credits as in the daemon, with messages that are delivered instantly. */
export class SlotOwnershipStrategy extends LimitStrategy {
  private readonly hosts: Array<{ self: RosterHost, slots: HostSlots }>
  private readonly runners = new Map<string, HostSlots>()
  private nextRenewal = 0

  constructor (targets: readonly string[], slots: number, hosts: number) {
    super()
    const specs = targets.map((name) => ({ name, address: '127.0.0.1:9', availabilityZone: ZONE, slots, connections: 10 }))
    this.hosts = Array.from({ length: hosts }, (_, index) => {
      const self = { name: `${ZONE}-${index}`, incarnation: 1 }
      return { self, slots: new HostSlots({ host: self.name, incarnation: 1, availabilityZone: ZONE }) }
    })
    for (const host of this.hosts) host.slots.adoptTargets(SERVICE, specs, MAX_DEADLINE_MS, 0)
    for (const host of this.hosts) host.slots.adoptRoster({ version: 1, availabilityZone: ZONE, hosts: this.hosts.map(({ self }) => self) }, 0)
    // A claim to a part is ready once all members but the last have answered, so a second round is needed.
    for (let round = 0; round < 2; round += 1) this.hosts.forEach((host) => this.claim(host))
  }

  tryStart (host: number, holder: string, now: number): string | undefined {
    const own = this.hosts[host]!
    const [target, free] = [...own.slots.getFree(SERVICE, now)].reduce((left, right) => right[1] > left[1] ? right : left)
    if (free > 0 && own.slots.acquire(SERVICE, target, holder, now + MAX_DEADLINE_MS, now)) {
      this.runners.set(holder, own.slots)
      return target
    }
    for (let step = 1; step < this.hosts.length; step += 1) {
      const other = this.hosts[(host + step) % this.hosts.length]!
      const [credit] = other.slots.grantCredits(SERVICE, own.self.name, 1, now)
      if (credit === undefined) continue
      this.runners.set(holder, other.slots)
      return other.slots.useCredit(credit.id, holder, now + MAX_DEADLINE_MS, now)?.target
    }
    return undefined
  }

  release (_host: number, holder: string, _target: string, now: number): void {
    this.runners.get(holder)?.release(holder, now)
    this.runners.delete(holder)
  }

  advance (now: number): void {
    if (now < this.nextRenewal) return
    this.nextRenewal = now + RENEW_MS
    for (const { self, slots } of this.hosts) {
      for (const request of slots.planRenewals(now)) slots.acceptGrant(request, this.find(request.standby).grantLeases(self, request.leases, now).granted)
    }
  }

  private claim ({ self, slots }: { self: RosterHost, slots: HostSlots }): void {
    for (const { host, claim } of slots.claims.planClaims(0)) slots.claims.acceptAnswer(claim, this.find(host).claims.handleClaim(self, claim, 0), 0)
  }

  private find (name: string): HostSlots {
    return this.hosts.find(({ self }) => self.name === name)!.slots
  }
}
