import type { HostEntry } from '../fleet/hostEntry.js'

/** Lists made of the hosts that were live at one time. */
export interface LiveLists {
  /** Monotonic milliseconds. */
  madeAt: number
  changes: number
  hostsRevision: number
  live: HostEntry[]
  /** Addresses of the hosts of this region. */
  nearAddresses: ReadonlySet<string>
  /** Names of the hosts of this region that speak for it and watch the store. */
  speakers: readonly string[]
  /** Hosts of each availability zone that sum up what its hosts tell. */
  summing: ReadonlyMap<string, readonly HostEntry[]>
  /** Names of the hosts that share the work on the targets of each region that was asked for. */
  senders: Map<string, readonly string[]>
}
