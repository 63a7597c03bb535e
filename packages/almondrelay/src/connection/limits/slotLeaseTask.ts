import type { HostSlots } from '../../process/limits/hostSlots.js'
import type { LeaseRequest } from '../../process/limits/leaseRequest.js'
import type { PartClaim } from '../../process/limits/partClaim.js'
import type { Clock } from '../../process/platform/clock.js'
import type { LimitPeers } from './limitPeers.js'

interface SlotLeaseTaskParts {
  slots: HostSlots
  peers: LimitPeers
  clock: Clock
}

/** Twelve rounds in a lease's term, so that due renewals are sent early enough. A round with nothing due makes no call. */
const ROUND_INTERVAL_MS = 250

/**
 * Renews this host's slot leases and claims the parts that are assigned to it. At most one call of each kind is pending at
 * a peer, so that a frozen peer neither delays calls to other peers nor makes pending calls accumulate in memory.
 */
export class SlotLeaseTask {
  private readonly waiting = new Set<string>()

  constructor (private readonly parts: SlotLeaseTaskParts) {}

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { slots, clock } = this.parts
    while (!signal.aborted) {
      const now = clock.getNow()
      for (const request of slots.planRenewals(now)) this.start(`lease/${request.standby}`, () => this.renew(request, signal))
      for (const { host, claim } of slots.claims.planClaims(now)) this.start(`claim/${host}/${claim.ready}`, () => this.claim(host, claim, signal))
      await clock.sleep(ROUND_INTERVAL_MS, signal)
    }
  }

  private start (key: string, call: () => Promise<void>): void {
    if (this.waiting.has(key)) return
    this.waiting.add(key)
    const finish = (): void => { this.waiting.delete(key) }
    call().then(finish, finish)
  }

  private async renew (request: LeaseRequest, signal: AbortSignal): Promise<void> {
    const answer = await this.parts.peers.tryRenewSlotLease(request, signal)
    if (answer !== undefined) this.parts.slots.acceptGrant(request, answer.granted)
  }

  private async claim (host: string, claim: PartClaim, signal: AbortSignal): Promise<void> {
    const { slots, peers, clock } = this.parts
    const answer = await peers.tryClaimParts(host, claim, signal)
    if (answer !== undefined) slots.claims.acceptAnswer(claim, answer, clock.getNow())
  }
}
