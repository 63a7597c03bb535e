import type { Membership } from '../../process/membership/membership.js'

/** Hosts whose summary goes to peers in turn: by turns one of the own zone and one of the others. */
export class RefreshRotation {
  private own: string[] = []
  private others: string[] = []
  private isOwnNext = false

  constructor (private readonly membership: Membership, private readonly ownZone: string) {}

  takeNext (): string[] {
    if (this.own.length === 0 || this.others.length === 0) this.fill()
    this.isOwnNext = !this.isOwnNext
    const next = this.isOwnNext ? this.own.pop() ?? this.others.pop() : this.others.pop() ?? this.own.pop()
    return next === undefined ? [] : [next]
  }

  private fill (): void {
    const hosts = this.membership.listHosts()
    if (this.own.length === 0) this.own = hosts.filter((each) => each.availabilityZone === this.ownZone).map((each) => each.host)
    if (this.others.length === 0) this.others = hosts.filter((each) => each.availabilityZone !== this.ownZone).map((each) => each.host)
  }
}
