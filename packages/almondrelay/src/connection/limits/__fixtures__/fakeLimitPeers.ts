import type { HostSlots } from '../../../process/limits/hostSlots.js'
import type { LeaseGrant } from '../../../process/limits/leaseGrant.js'
import type { LeaseRequest } from '../../../process/limits/leaseRequest.js'
import type { PartClaim } from '../../../process/limits/partClaim.js'
import type { PartClaimAnswer } from '../../../process/limits/partClaimAnswer.js'
import type { RosterHost } from '../../../process/limits/rosterHost.js'
import type { Clock } from '../../../process/platform/clock.js'
import { LimitPeers } from '../limitPeers.js'

/** Calls the slots of the other hosts directly. Hosts in `disconnected` neither send nor answer calls. */
export class FakeLimitPeers extends LimitPeers {
  constructor (private readonly self: RosterHost, private readonly hosts: Map<string, HostSlots>, private readonly disconnected: Set<string>, private readonly clock: Clock) {
    super()
  }

  async tryRenewSlotLease (request: LeaseRequest): Promise<LeaseGrant | undefined> {
    return this.find(request.standby)?.grantLeases(this.self, request.leases, this.clock.getNow())
  }

  async tryClaimParts (host: string, claim: PartClaim): Promise<PartClaimAnswer | undefined> {
    return this.find(host)?.claims.handleClaim(this.self, claim, this.clock.getNow())
  }

  private find (host: string): HostSlots | undefined {
    return this.disconnected.has(this.self.name) || this.disconnected.has(host) ? undefined : this.hosts.get(host)
  }
}
