import type { Membership } from '../../process/membership/membership.js'

/** Minimum number of hosts of other zones in one round; in a small fleet these are all of them. */
const MIN_OTHER_ZONE_HOSTS = 20

/**
 * Selects in rotation the hosts whose summaries are sent to one peer. A round contains each host of the own zone once and
 * as many hosts of other zones, continuing where the previous round stopped. Summaries of the own zone are therefore sent
 * often in a fleet of any size.
 */
export class RefreshRotation {
  private round: string[] = []
  private otherZoneHosts: string[] = []

  constructor (private readonly membership: Membership, private readonly ownZone: string) {}

  takeNext (peer: string, count: number): string[] {
    const taken: string[] = []
    // Hosts with the highest revision are sent first, so that status soon shows that a change is in force.
    this.round.sort((a, b) => this.membership.getRevision(a) - this.membership.getRevision(b))
    while (taken.length < count) {
      if (this.round.length === 0) this.fillRound(peer)
      const next = this.round.pop()
      if (next === undefined) return taken
      taken.push(next)
    }
    return taken
  }

  private fillRound (peer: string): void {
    const hosts = this.membership.listHosts().filter((each) => each.host !== peer)
    const ownZoneHosts = hosts.filter((each) => each.availabilityZone === this.ownZone).map((each) => each.host)
    if (this.otherZoneHosts.length === 0) this.otherZoneHosts = hosts.filter((each) => each.availabilityZone !== this.ownZone).map((each) => each.host)
    const nextOtherHosts = this.otherZoneHosts.splice(-Math.max(MIN_OTHER_ZONE_HOSTS, ownZoneHosts.length))
    this.round = [...ownZoneHosts, ...nextOtherHosts]
  }
}
