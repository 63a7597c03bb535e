import { HostDirectory } from '../dispatch/hostDirectory.js'
import type { KnownHost } from '../dispatch/knownHost.js'
import type { Member } from '../membership/member.js'
import type { Membership } from '../membership/membership.js'
import { MemberState } from '../membership/memberState.js'
import type { Clock } from '../platform/clock.js'

/** Age in milliseconds at which the list is rebuilt; short compared with the heartbeat interval of 250 ms. */
const MAX_LIST_AGE_MS = 25

/** Directory of the entry hosts known to membership; the list is cached for MAX_LIST_AGE_MS or until membership changes. */
export class MemberDirectory extends HostDirectory {
  private listed: KnownHost[] = []
  private byName = new Map<string, KnownHost>()
  private listedAt = -Infinity

  constructor (private readonly membership: Membership, private readonly clock: Clock) {
    super()
    membership.subscribe(() => { this.listedAt = -Infinity })
  }

  override find (name: string): KnownHost | undefined {
    this.refresh()
    return this.byName.get(name)
  }

  override list (): KnownHost[] {
    this.refresh()
    return this.listed
  }

  override observeRefused (name: string, incarnation: number): void {
    const address = this.find(name)?.peerAddress ?? ''
    this.membership.observeRefused(name, incarnation, address, this.clock.getNow())
  }

  private refresh (): void {
    const now = this.clock.getNow()
    if (now - this.listedAt < MAX_LIST_AGE_MS) return
    this.listedAt = now
    this.listed = this.membership.listMembers(now).map(toKnownHost)
    this.byName = new Map(this.listed.map((host) => [host.name, host]))
  }
}

function toKnownHost (member: Member): KnownHost {
  return {
    name: member.host,
    incarnation: member.incarnation,
    region: member.region,
    availabilityZone: member.availabilityZone,
    callerAddress: member.callerAddress,
    peerAddress: member.peerAddress,
    leaving: member.state === MemberState.leaving,
    reachable: member.state === MemberState.live || member.state === MemberState.leaving,
    gone: member.state === MemberState.gone,
    freeSlots: new Map(member.loads.map((load) => [load.service, load.freeSlots])),
    slots: new Map(member.loads.map((load) => [load.service, load.freeSlots + load.running])),
    ageMs: member.heardAgeMs
  }
}
