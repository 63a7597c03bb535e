import { computeGrantorWait } from './computeGrantorWait.js'
import { isSameHost } from './isSameHost.js'
import type { LimitsOptions } from './limitsOptions.js'
import type { PartClaims } from './partClaims.js'
import type { PartGrant } from './partGrant.js'
import type { PartStatus } from './partStatus.js'
import { PartUser } from './partUser.js'
import type { RosterHost } from './rosterHost.js'
import type { SlotGrant } from './slotGrant.js'
import type { SlotLease } from './slotLease.js'

interface TargetSize {
  slots: number
  maxDeadlineMs: number
}

/** Part of a term that may pass before a lease is renewed: two renewals may be lost before it lapses. */
const RENEW_AFTER = 1 / 3
/** Silence of the owner, in terms, after which its standby uses the rest itself. */
const PATIENCE_TERMS = 2

/**
 * The slots of one target as one host may use them: a floor (half, rounded up) that needs nobody while
 * the host holds it, and a rest that its holder, the standby, either grants to the owner for a short
 * term or, once the owner has long been silent, uses itself.
 *
 * Guards against an owner that freezes or is cut off and goes on as before when it wakes, while its
 * standby has filled in for it: the target would get up to one and a half times its slots. The term
 * counts on the owner's clock from the sending of its request, so a late, repeated or delayed grant
 * never lengthens it; the standby counts from its answer, with the drift margin, and then waits for
 * the longest deadline, so the owner's last work on the lease has ended before the first of the standby.
 */
export class TargetSlots extends PartUser {
  readonly floorId: string
  readonly restId: string
  /** Requests that run, or may run, on the target for this host; until their answer or refusal is known. */
  running = 0
  /** Credits granted and neither used nor lapsed. */
  credits = 0
  /** False once the configuration no longer names the target. */
  configured = true
  private floor!: PartStatus
  private rest!: PartStatus
  private leaseUntil = -Infinity
  private grant: SlotGrant | undefined
  private ownerAskedAt = -Infinity

  constructor (readonly service: string, readonly target: string, private size: TargetSize, private readonly claims: PartClaims, private readonly options: LimitsOptions) {
    super()
    const key = `${service}/${target}`
    this.floorId = `floor/${key}`
    this.restId = `rest/${key}`
    this.adoptSize(size)
  }

  get maxDeadlineMs (): number {
    return this.size.maxDeadlineMs
  }

  /** A lowered number of slots holds for the next piece of work. */
  adoptSize (size: TargetSize): void {
    this.size = size
    const key = `${this.service}/${this.target}`
    this.floor = this.claims.addPart({ id: this.floorId, key, rank: 0, waitMs: size.maxDeadlineMs }, this)
    this.rest = this.claims.addPart({ id: this.restId, key, rank: 1, waitMs: this.options.leaseTermMs + size.maxDeadlineMs }, this)
  }

  /** Requests that this host may have on the target at once. */
  computeCapacity (now: number): number {
    return this.computeFloor() + this.computeRest(now)
  }

  computeFree (now: number): number {
    if (!this.configured) return 0
    return Math.max(0, this.computeCapacity(now) - this.running - this.credits)
  }

  isOwner (): boolean {
    return this.floor.usable
  }

  isHeld (): boolean {
    return this.floor.held || this.rest.held
  }

  /** Whether the owner's lease is worth renewing now. */
  isRenewalDue (now: number): boolean {
    if (!this.configured || !this.isOwner() || this.rest.held) return false
    return now >= this.leaseUntil - this.options.leaseTermMs * (1 - RENEW_AFTER)
  }

  makeLease (rosterVersion: number): SlotLease {
    return { service: this.service, target: this.target, termMs: this.options.leaseTermMs, longestDeadlineMs: this.size.maxDeadlineMs, rosterVersion }
  }

  /** As owner: a lease asked for at `sentAt` was granted. */
  acceptLease (lease: SlotLease, sentAt: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, sentAt + lease.termMs)
  }

  /** As holder of the rest: grants it to the owner, or refuses while this host's own work is on it. */
  grantLease (sender: RosterHost, lease: SlotLease, now: number): SlotLease | undefined {
    const holder = this.claims.getHolder(this.floorId)
    if (holder === undefined || !isSameHost(holder, sender)) return undefined
    this.ownerAskedAt = now
    if (!this.rest.usable || !this.isRestIdle()) return undefined
    if (this.grant !== undefined && !isSameHost(this.grant.to, sender) && now < this.grant.busyUntil) return undefined
    const termMs = Math.min(lease.termMs, this.options.leaseTermMs)
    const longestDeadlineMs = Math.max(lease.longestDeadlineMs, this.size.maxDeadlineMs)
    const busyUntil = now + computeGrantorWait(termMs + longestDeadlineMs, this.options)
    this.grant = { to: sender, busyUntil: Math.max(busyUntil, this.grant?.busyUntil ?? -Infinity) }
    return { ...lease, termMs, longestDeadlineMs }
  }

  /** The process that a grant went to is gone: nothing new can be begun on it. */
  reclaimGrant (host: RosterHost, now: number): void {
    if (this.grant === undefined || !isSameHost(this.grant.to, host)) return
    this.grant.busyUntil = Math.min(this.grant.busyUntil, now + computeGrantorWait(this.size.maxDeadlineMs, this.options))
  }

  /** The grant that goes along when the part is given up; undefined while this host's work needs it. */
  tryGiveUp (part: string, now: number): PartGrant[] | undefined {
    if (this.running + this.credits > this.computeCapacity(now)) return undefined
    if (part === this.floorId || this.grant === undefined) return []
    const busyMs = Math.max(0, this.grant.busyUntil - now)
    return [{ id: '', to: this.grant.to, amount: Math.floor(this.size.slots / 2), limit: this.size.slots, termMs: busyMs, busyMs }]
  }

  isOnlyGrantee (part: string, now: number): boolean {
    return part === this.restId && this.isOwner() && now < this.leaseUntil
  }

  acceptPart (part: string, grants: readonly PartGrant[], now: number): void {
    if (part !== this.restId) return
    this.ownerAskedAt = now
    this.grant = grants.reduce<SlotGrant | undefined>((merged, grant) => mergeGrants(merged, this.toGrant(grant, now)), undefined)
  }

  /** Whether forgetting the target forgets nothing that still binds. */
  isIdle (now: number): boolean {
    const bound = this.running > 0 || this.credits > 0 || now < this.leaseUntil + this.size.maxDeadlineMs || now < (this.grant?.busyUntil ?? -Infinity)
    return !bound && !this.claims.hasObligation(this.restId, now)
  }

  private computeFloor (): number {
    return this.isOwner() ? Math.ceil(this.size.slots / 2) : 0
  }

  private computeRest (now: number): number {
    return this.isRestUsable(now) ? Math.floor(this.size.slots / 2) : 0
  }

  private isRestUsable (now: number): boolean {
    if (!this.rest.usable) return now < this.leaseUntil && !this.rest.held
    if (this.grant !== undefined && now < this.grant.busyUntil) return false
    return this.isOwner() || now >= this.ownerAskedAt + this.options.leaseTermMs * PATIENCE_TERMS
  }

  private isRestIdle (): boolean {
    return this.running + this.credits <= this.computeFloor()
  }

  private toGrant (grant: PartGrant, now: number): SlotGrant {
    return { to: grant.to, busyUntil: now + computeGrantorWait(grant.busyMs, this.options) }
  }
}

/** Two grants to different hosts bind nobody to renew: neither may be taken for the other's. */
function mergeGrants (left: SlotGrant | undefined, right: SlotGrant): SlotGrant {
  if (left === undefined) return right
  const busyUntil = Math.max(left.busyUntil, right.busyUntil)
  return isSameHost(left.to, right.to) ? { to: left.to, busyUntil } : { to: { name: '', incarnation: 0 }, busyUntil }
}
