import { isSameHost } from './isSameHost.js'
import { rankHosts } from './rankHosts.js'
import type { Roster } from './roster.js'
import type { RosterHost } from './rosterHost.js'

/**
 * A host's view of the membership of its zone: a roster and the members that are gone by definitive evidence.
 * A view is only replaced by one with a later roster or with more members gone. Two hosts with equal views agree on the holder of each part.
 */
export class ZoneView {
  readonly key: string
  readonly gone: RosterHost[]
  readonly live: RosterHost[]
  private readonly ranked = new Map<string, RosterHost[]>()

  constructor (readonly roster: Roster, gone: readonly RosterHost[]) {
    this.gone = roster.hosts.filter((host) => gone.some((each) => isSameHost(each, host)))
    this.live = roster.hosts.filter((host) => !this.gone.includes(host))
    const names = this.gone.map(formatHost).sort()
    this.key = `${roster.version}|${names.join(',')}`
  }

  /** Whether the process, in this incarnation, is a live member. */
  has (host: RosterHost): boolean {
    return this.live.some((each) => isSameHost(each, host))
  }

  /** Returns the live member with the given rank for a key; the last one where there are fewer. */
  getHolder (key: string, rank: number): RosterHost | undefined {
    let hosts = this.ranked.get(key)
    if (hosts === undefined) {
      hosts = rankHosts(key, this.live)
      this.ranked.set(key, hosts)
    }
    return hosts[Math.min(rank, hosts.length - 1)]
  }

  /** Returns this view with more members gone; the same object where nothing changes. */
  withGone (gone: readonly RosterHost[]): ZoneView {
    const newlyGone = gone.filter((host) => this.has(host))
    return newlyGone.length === 0 ? this : new ZoneView(this.roster, [...this.gone, ...newlyGone])
  }
}

const formatHost = (host: RosterHost): string => `${host.name};${host.incarnation}`
