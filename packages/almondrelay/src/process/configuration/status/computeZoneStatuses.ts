import type { Member } from '../../membership/member.js'
import { MemberState } from '../../membership/memberState.js'
import type { ZoneStatus } from './zoneStatus.js'

/**
 * Summarises by availability zone which revision is in force, and which hosts lag or can't be reached.
 *
 * @param newest the revision in force here; a higher revision that peers report doesn't count before it is fetched
 */
export function computeZoneStatuses (members: readonly Member[], newest: number): ZoneStatus[] {
  const zones = new Map<string, Member[]>()
  for (const member of members) {
    if (member.state === MemberState.gone) continue
    zones.set(member.availabilityZone, [...zones.get(member.availabilityZone) ?? [], member])
  }
  return [...zones.values()]
    .map((zone) => computeZoneStatus(zone, newest))
    .sort((a, b) => (a.availabilityZone < b.availabilityZone ? -1 : 1))
}

function computeZoneStatus (members: Member[], newest: number): ZoneStatus {
  const reachable = members.filter(isReachable)
  const lagging = reachable.filter((member) => member.revision < newest)
  const status: ZoneStatus = {
    availabilityZone: members[0]?.availabilityZone ?? '',
    region: members[0]?.region ?? '',
    reachableHosts: reachable.length,
    laggingHosts: lagging.map(({ host, revision }) => ({ host, revision })),
    unreachableHosts: members.filter((member) => !isReachable(member)).map((member) => member.host),
    knownAgeMs: Math.round(Math.max(0, ...reachable.map((member) => member.heardAgeMs)))
  }
  if (reachable.length === 0) return status
  return { ...status, revision: Math.min(...reachable.map((member) => member.revision)) }
}

const isReachable = (member: Member): boolean => member.state === MemberState.live || member.state === MemberState.leaving
