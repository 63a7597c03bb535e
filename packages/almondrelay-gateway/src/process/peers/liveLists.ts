import type { HostEntry } from '../fleet/hostEntry.js'

/** Lists computed from the hosts that were live at one time. */
export interface LiveLists {
  /** Whether this host heard no other host of its region when the lists were computed. */
  isIsolated: boolean
  /** Last reference time, see `LiveHosts`, at which no host of the region has been silent for too long. */
  validUntil: number
  /** Monotonic milliseconds until which other regions' reports of silent hosts count. */
  regionReportsValidUntil: number
  /** Hashes of the incarnations of the hosts of this region that aren't live. */
  silentHosts: readonly number[]
  /** Number of reports that had changed which hosts are live. */
  changes: number
  hostsRevision: number
  live: HostEntry[]
  /** Addresses of the hosts of this region. */
  regionAddresses: ReadonlySet<string>
  /** Names of this region's representatives, which report for it to the other regions and are its watchers of the store. */
  representatives: readonly string[]
  /** Hosts that aggregate the reports of their availability zone, by zone. */
  aggregators: ReadonlyMap<string, readonly HostEntry[]>
  /** Names of the hosts that send requests to the targets of a region, by region; filled when a region is first asked for. */
  senders: Map<string, readonly string[]>
}
