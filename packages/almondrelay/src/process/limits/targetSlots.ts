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

/** Fraction of a term after which a lease is renewed: two renewals can be lost before the lease expires. */
const RENEWAL_FRACTION = 1 / 3
/** Number of lease terms without a request from the owner after which the standby uses the rest itself. */
const OWNER_TIMEOUT_TERMS = 2

/**
 * The slots of one target that one host may use: a floor (half of the slots, rounded up), which the owner uses
 * without a lease, and a rest, which its holder, the standby, either leases to the owner for a short
 * term or, after a long time without a request from the owner, uses itself.
 *
 * This guards against an owner that freezes or is cut off and later continues as before, while its standby
 * uses the rest: the target would get up to one and a half times its slots. The owner counts the term on its
 * clock from the sending of its request, so a late, repeated or delayed grant never extends the term.
 * The standby counts from its answer, with the drift margin, and then waits for the longest deadline, so
 * the owner's last work on the lease has ended before the standby's first work begins.
 */
export class TargetSlots extends PartUser {
  readonly floorId: string
  readonly restId: string
  /** Number of this host's requests that run, or may run, on the target; each counts until its answer or refusal is known. */
  running = 0
  /** Number of credits that are granted and neither used, returned nor expired. */
  credits = 0
  /** False once the configuration no longer names the target. */
  configured = true
  private floor!: PartStatus
  private rest!: PartStatus
  private leaseUntil = -Infinity
  private grant: SlotGrant | undefined
  private lastOwnerRequestAt = -Infinity

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

  /** Adopts a new size; a lowered number of slots applies to new work only. */
  adoptSize (size: TargetSize): void {
    this.size = size
    const key = `${this.service}/${this.target}`
    this.floor = this.claims.addPart({ id: this.floorId, key, rank: 0, waitMs: size.maxDeadlineMs }, this)
    this.rest = this.claims.addPart({ id: this.restId, key, rank: 1, waitMs: this.options.leaseTermMs + size.maxDeadlineMs }, this)
  }

  /** Returns the number of requests that this host may run on the target concurrently. */
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

  /** Whether this host, as owner, should request or renew its lease now. */
  isRenewalDue (now: number): boolean {
    if (!this.configured || !this.isOwner() || this.rest.held) return false
    return now >= this.leaseUntil - this.options.leaseTermMs * (1 - RENEWAL_FRACTION)
  }

  makeLease (rosterVersion: number): SlotLease {
    return { service: this.service, target: this.target, termMs: this.options.leaseTermMs, longestDeadlineMs: this.size.maxDeadlineMs, rosterVersion }
  }

  /** As owner: applies the grant of a lease that was requested at `sentAt`. */
  acceptLease (lease: SlotLease, sentAt: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, sentAt + lease.termMs)
  }

  /** As holder of the rest: grants it to the owner, or refuses while this host's own work uses it. */
  grantLease (sender: RosterHost, lease: SlotLease, now: number): SlotLease | undefined {
    const holder = this.claims.getHolder(this.floorId)
    if (holder === undefined || !isSameHost(holder, sender)) return undefined
    this.lastOwnerRequestAt = now
    if (!this.rest.usable || !this.isRestIdle()) return undefined
    if (this.grant !== undefined && !isSameHost(this.grant.to, sender) && now < this.grant.busyUntil) return undefined
    const termMs = Math.min(lease.termMs, this.options.leaseTermMs)
    const longestDeadlineMs = Math.max(lease.longestDeadlineMs, this.size.maxDeadlineMs)
    const busyUntil = now + computeGrantorWait(termMs + longestDeadlineMs, this.options)
    this.grant = { to: sender, busyUntil: Math.max(busyUntil, this.grant?.busyUntil ?? -Infinity) }
    return { ...lease, termMs, longestDeadlineMs }
  }

  /** Shortens the grant of a process that is gone: no new work can begin on it, but work already begun may run on. */
  reclaimGrant (host: RosterHost, now: number): void {
    if (this.grant === undefined || !isSameHost(this.grant.to, host)) return
    this.grant.busyUntil = Math.min(this.grant.busyUntil, now + computeGrantorWait(this.size.maxDeadlineMs, this.options))
  }

  /** Returns the grant to hand over together with the part; undefined while this host's work needs the part. */
  tryHandOver (part: string, now: number): PartGrant[] | undefined {
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
    this.lastOwnerRequestAt = now
    this.grant = grants.reduce<SlotGrant | undefined>((merged, grant) => mergeGrants(merged, this.toGrant(grant, now)), undefined)
  }

  /** Whether the target can be removed: nothing runs on it, and no credit, lease, grant or obligation still binds. */
  isIdle (now: number): boolean {
    const bound = this.running > 0 || this.credits > 0 || now < this.leaseUntil + this.size.maxDeadlineMs || now < (this.grant?.busyUntil ?? -Infinity)
    return !bound && !this.claims.hasBindingGrants(this.restId, now)
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
    return this.isOwner() || now >= this.lastOwnerRequestAt + this.options.leaseTermMs * OWNER_TIMEOUT_TERMS
  }

  private isRestIdle (): boolean {
    return this.running + this.credits <= this.computeFloor()
  }

  private toGrant (grant: PartGrant, now: number): SlotGrant {
    return { to: grant.to, busyUntil: now + computeGrantorWait(grant.busyMs, this.options) }
  }
}

/** Merges two grants. Grants to different hosts merge into one that no host can renew, so that neither host's grant is taken for the other's. */
function mergeGrants (left: SlotGrant | undefined, right: SlotGrant): SlotGrant {
  if (left === undefined) return right
  const busyUntil = Math.max(left.busyUntil, right.busyUntil)
  return isSameHost(left.to, right.to) ? { to: left.to, busyUntil } : { to: { name: '', incarnation: 0 }, busyUntil }
}
