import type { Membership } from '../../process/membership/membership.js'

/** Hosts whose summary goes to a peer in turn: one of the own zone and one of the others at a time. */
export class RefreshRotation {
  private own: string[] = []
  private others: string[] = []

  constructor (private readonly membership: Membership) {}

  takeNext (peer: string): string[] {
    if (this.own.length === 0 || this.others.length === 0) this.fill()
    return [this.own.pop(), this.others.pop()].filter((name): name is string => name !== undefined && name !== peer)
  }

  private fill (): void {
    const hosts = this.membership.listHosts()
    if (this.own.length === 0) this.own = hosts.filter((each) => each.isOwnZone).map((each) => each.host)
    if (this.others.length === 0) this.others = hosts.filter((each) => !each.isOwnZone).map((each) => each.host)
  }
}
