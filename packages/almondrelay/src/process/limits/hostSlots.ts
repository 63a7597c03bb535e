import type { TargetSpec } from '../../version/resources/targetSpec.js'
import type { Credit } from './credit.js'
import { CreditLedger } from './creditLedger.js'
import { defaultLimitsOptions } from './defaultLimitsOptions.js'
import type { HostSlotsIdentity } from './hostSlotsIdentity.js'
import type { LeaseGrant } from './leaseGrant.js'
import type { LeaseRequest } from './leaseRequest.js'
import type { LimitsOptions } from './limitsOptions.js'
import { PartClaims } from './partClaims.js'
import type { Roster } from './roster.js'
import type { RosterHost } from './rosterHost.js'
import type { SlotLease } from './slotLease.js'
import { TargetSlots } from './targetSlots.js'

interface HeldTargets {
  epoch: number
  slots: TargetSlots[]
}

interface UsedCredit {
  service: string
  target: string
}

/**
 * The target slots that one host may use, over all services of its availability zone: those it owns, those
 * it has on lease, and those it has granted as credits. The host owns nothing until a roster is adopted; if it is
 * the only host of the roster, it owns all slots. `now` is always this host's monotonic clock in milliseconds.
 */
export class HostSlots {
  /** Which host holds which part in the zone; shared with the zone's shares of region limits. */
  readonly claims: PartClaims
  private readonly self: RosterHost
  private readonly options: LimitsOptions
  private readonly services = new Map<string, Map<string, TargetSlots>>()
  private readonly slotsByHolder = new Map<string, TargetSlots>()
  private readonly held = new Map<string, HeldTargets>()
  private readonly ledger: CreditLedger

  constructor (private readonly identity: HostSlotsIdentity, options: Partial<LimitsOptions> = {}) {
    this.options = { ...defaultLimitsOptions, ...options }
    this.self = { name: identity.host, incarnation: identity.incarnation }
    this.claims = new PartClaims(this.self, this.options)
    this.ledger = new CreditLedger(`${identity.host};${identity.incarnation}`, this.options.creditTermMs)
  }

  /** Adopts a newer roster of the own zone; rosters of other zones and older ones are ignored. */
  adoptRoster (roster: Roster, now: number): void {
    if (roster.availabilityZone !== this.identity.availabilityZone) return
    this.claims.adoptRoster(roster, now)
    this.claims.advance(now)
  }

  /**
   * Replaces the service's targets by those of the own zone. `maxDeadlineMs` bounds every `runsUntil` and
   * must be the same on all hosts of a fleet, because peers wait that long for this host's work to end.
   */
  adoptTargets (service: string, targets: readonly TargetSpec[], maxDeadlineMs: number, now: number): void {
    const known = this.getService(service)
    for (const slots of known.values()) slots.configured = false
    for (const target of targets.filter((each) => each.availabilityZone === this.identity.availabilityZone)) {
      const size = { slots: target.slots, maxDeadlineMs }
      const slots = known.get(target.name) ?? new TargetSlots(service, target.name, size, this.claims, this.options)
      slots.configured = true
      slots.adoptSize(size)
      known.set(target.name, slots)
    }
    this.prune(now)
    this.held.clear()
    this.claims.advance(now)
  }

  /** Records definitive evidence that a process is gone. There is no method for a suspicion, because a suspicion frees no slots. */
  markGone (host: string, incarnation: number, now: number): void {
    const gone = { name: host, incarnation }
    this.claims.markGone(gone, now)
    this.listAll().forEach((slots) => slots.reclaimGrant(gone, now))
    this.claims.advance(now)
  }

  /** Returns the free slots for this host's own requests, by target, for the targets of which it is owner or standby. */
  getFree (service: string, now: number): Map<string, number> {
    this.advance(now)
    const free = new Map<string, number>()
    for (const slots of this.listHeld(service)) free.set(slots.target, slots.computeFree(now))
    return free
  }

  /** Counts this host's requests that are running on the service's targets. */
  countRunning (service: string): number {
    return [...this.getService(service).values()].reduce((sum, slots) => sum + slots.running, 0)
  }

  /**
   * Takes a slot for a request that ends by `runsUntil`. The calling code must check `now < runsUntil` again after
   * its last await, before it sends the first byte, because peers rely on nothing running past that time.
   */
  acquire (service: string, target: string, holder: string, runsUntil: number, now: number): boolean {
    this.advance(now)
    const slots = this.services.get(service)?.get(target)
    if (slots === undefined || slots.computeFree(now) < 1) return false
    return this.begin(slots, holder, runsUntil, now)
  }

  /** Releases the slot once the request's answer or refusal is known. Releasing it twice, or without having acquired it, has no effect. */
  release (holder: string, now: number): void {
    const slots = this.slotsByHolder.get(holder)
    if (slots === undefined) return
    this.slotsByHolder.delete(holder)
    slots.running -= 1
    this.advance(now)
  }

  /**
   * Grants a sender at most `wanted` credits from the targets with the most free slots, keeping a reserve
   * for this host's own callers. `isUsable` excludes targets that take no new work: leaving, slow or unresponsive ones.
   */
  grantCredits (service: string, sender: string, wanted: number, now: number, isUsable: (target: string) => boolean = () => true): Credit[] {
    this.advance(now)
    const owned = this.listHeld(service).filter((slots) => slots.isOwner() && isUsable(slots.target))
    const capacity = owned.reduce((sum, slots) => sum + slots.computeCapacity(now), 0)
    const free = owned.reduce((sum, slots) => sum + slots.computeFree(now), 0)
    const count = Math.min(wanted, free - Math.ceil(capacity * this.options.creditReserve))
    const credits: Credit[] = []
    while (credits.length < count) {
      const best = owned.reduce((left, right) => right.computeFree(now) > left.computeFree(now) ? right : left)
      credits.push(this.ledger.grant(best, now))
    }
    return credits
  }

  /** Turns a credit into a running request; undefined, with nothing run, when the credit expired, was used or its slot is no longer this host's. */
  useCredit (creditId: string, holder: string, runsUntil: number, now: number): UsedCredit | undefined {
    const slots = this.ledger.take(creditId, now)
    if (slots === undefined || slots.running + slots.credits >= slots.computeCapacity(now)) return undefined
    return this.begin(slots, holder, runsUntil, now) ? { service: slots.service, target: slots.target } : undefined
  }

  returnCredits (ids: readonly string[], now: number): void {
    ids.forEach((id) => this.ledger.take(id, now))
  }

  /** Plans the leases to request now, one request for each standby. Terms count from `now`, so the requests must be sent at once. */
  planRenewals (now: number): LeaseRequest[] {
    this.advance(now)
    const requests = new Map<string, LeaseRequest>()
    for (const slots of this.listAll().filter((each) => each.isRenewalDue(now))) {
      const standby = this.claims.getHolder(slots.restId)
      if (standby === undefined || standby.name === this.self.name) continue
      const request = requests.get(standby.name) ?? { standby: standby.name, sentAt: now, leases: [] }
      request.leases.push(slots.makeLease(this.claims.rosterVersion))
      requests.set(standby.name, request)
    }
    return [...requests.values()]
  }

  /** Applies the standby's answer to the given request. A late or repeated answer is harmless: terms count from the sending of that request. */
  acceptGrant (request: LeaseRequest, granted: readonly SlotLease[]): void {
    for (const lease of granted) this.services.get(lease.service)?.get(lease.target)?.acceptLease(lease, request.sentAt)
  }

  /** As standby: grants the leases whose slots are used neither by this host's own work nor under another host's grant. */
  grantLeases (sender: RosterHost, leases: readonly SlotLease[], now: number): LeaseGrant {
    this.advance(now)
    const answer: LeaseGrant = { granted: [], refused: [] }
    for (const lease of leases) {
      const granted = this.services.get(lease.service)?.get(lease.target)?.grantLease(sender, lease, now)
      if (granted === undefined) answer.refused.push(lease)
      else answer.granted.push(granted)
    }
    return answer
  }

  private advance (now: number): void {
    this.ledger.expire(now)
    this.claims.advance(now)
  }

  private begin (slots: TargetSlots, holder: string, runsUntil: number, now: number): boolean {
    if (this.slotsByHolder.has(holder) || runsUntil <= now || runsUntil - now > slots.maxDeadlineMs) return false
    slots.running += 1
    this.slotsByHolder.set(holder, slots)
    return true
  }

  /**
   * Lists the configured targets of which this host holds a part; cached until a part or the
   * configuration changes, so that the cost of a request doesn't grow with the zone.
   */
  private listHeld (service: string): TargetSlots[] {
    const cached = this.held.get(service)
    if (cached !== undefined && cached.epoch === this.claims.epoch) return cached.slots
    const slots = [...this.getService(service).values()].filter((each) => each.configured && each.isHeld())
    this.held.set(service, { epoch: this.claims.epoch, slots })
    return slots
  }

  private getService (service: string): Map<string, TargetSlots> {
    const known = this.services.get(service) ?? new Map<string, TargetSlots>()
    this.services.set(service, known)
    return known
  }

  private listAll (): TargetSlots[] {
    return [...this.services.values()].flatMap((targets) => [...targets.values()])
  }

  /** Removes targets that are no longer configured, each only once nothing runs on it and no grant on it binds. */
  private prune (now: number): void {
    for (const targets of this.services.values()) {
      for (const slots of [...targets.values()].filter((each) => !each.configured && each.isIdle(now))) {
        targets.delete(slots.target)
        this.claims.removePart(slots.floorId)
        this.claims.removePart(slots.restId)
      }
    }
  }
}
