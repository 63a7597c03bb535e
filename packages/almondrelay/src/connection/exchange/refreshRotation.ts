import type { Membership } from '../../process/membership/membership.js'

/** Hosts of other zones in one round, at least; in a small fleet that is all of them. */
const FEWEST_OTHERS = 20

/**
 * Hosts whose summary goes to one peer in turn. A round has each host of the own zone once and as
 * many of the others, where the round before left off; so the own zone is heard of soon in a fleet
 * of any size.
 */
export class RefreshRotation {
  private round: string[] = []
  private others: string[] = []

  constructor (private readonly membership: Membership, private readonly ownZone: string) {}

  takeNext (peer: string, count: number): string[] {
    const taken: string[] = []
    // The hosts that have come furthest go first, so that status soon tells of a change that is in force.
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
    const own = hosts.filter((each) => each.availabilityZone === this.ownZone).map((each) => each.host)
    if (this.others.length === 0) this.others = hosts.filter((each) => each.availabilityZone !== this.ownZone).map((each) => each.host)
    const others = this.others.splice(-Math.max(FEWEST_OTHERS, own.length))
    this.round = [...own, ...others]
  }
}
