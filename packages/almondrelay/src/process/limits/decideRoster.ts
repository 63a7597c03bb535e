import { isSameHost } from './isSameHost.js'
import type { Roster } from './roster.js'
import type { RosterHost } from './rosterHost.js'

interface RosterInput {
  /** Undefined while the platform has no roster for the zone. */
  roster: Roster | undefined
  availabilityZone: string
  self: RosterHost
  /** False once this host is leaving. */
  joins: boolean
  /** Processes that are gone, on definitive evidence only. */
  gone: readonly RosterHost[]
}

/**
 * Decides the roster to write next; undefined when nothing changes. A newer incarnation
 * replaces an older one of the same name, never the other way round.
 */
export function decideRoster (input: RosterInput): Roster | undefined {
  const { roster, self, joins, gone } = input
  const former = roster?.hosts ?? []
  const isOlderSelf = (host: RosterHost): boolean => host.name === self.name && host.incarnation < self.incarnation
  const isLeavingSelf = (host: RosterHost): boolean => !joins && isSameHost(host, self)
  const kept = former.filter((host) => !isOlderSelf(host) && !isLeavingSelf(host) && !gone.some((each) => isSameHost(each, host)))
  const isNamed = kept.some((host) => host.name === self.name)
  const hosts = joins && !isNamed ? [...kept, self] : kept
  const isUnchanged = hosts.length === former.length && hosts.every((host) => former.includes(host))
  if (isUnchanged) return undefined
  const version = (roster?.version ?? 0) + 1
  const hasLoss = former.some((host) => !hosts.includes(host))
  const lastLossVersion = hasLoss ? version : roster === undefined ? 0 : roster.lastLossVersion ?? roster.version
  return { version, availabilityZone: input.availabilityZone, hosts, lastLossVersion }
}
