import { MemberState, type Member } from 'almondrelay/operators'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { PeerView } from '../peers/peerView.js'

/** Milliseconds without a report after which a host counts as unreachable; reports from other regions arrive every 2 s. */
const MAX_REPORT_AGE_MS = 5_000

interface MemberParts {
  own: HostEntry
  fleet: FleetState
  view: PeerView
  ownRevision: number
  isLeaving: boolean
}

/** Lists the hosts of the fleet, each with the revision of the operators' resources in force there by its last received report. */
export function listMembers ({ own, fleet, view, ownRevision, isLeaving }: MemberParts, now: number): Member[] {
  return fleet.listHosts().map((entry) => {
    const lastReport = entry.name === own.name ? { receivedAt: now, isLeaving, declaredRevision: ownRevision } : view.findLastReport(entry)
    return describeMember(entry, lastReport, now)
  })
}

const describeMember = (entry: HostEntry, lastReport: ReturnType<PeerView['findLastReport']>, now: number): Member => ({
  host: entry.name,
  incarnation: Number.parseInt(entry.incarnation, 10) || 0,
  availabilityZone: entry.availabilityZone,
  region: entry.region,
  callerAddress: `${entry.ip}:${entry.callerPort}`,
  peerAddress: `${entry.ip}:${entry.peerPort}`,
  revision: lastReport?.declaredRevision ?? 0,
  loads: [],
  state: findMemberState(lastReport, now),
  heardAgeMs: lastReport === undefined ? 0 : Math.round(now - lastReport.receivedAt)
})

const findMemberState = (lastReport: ReturnType<PeerView['findLastReport']>, now: number): MemberState => {
  if (lastReport === undefined) return MemberState.unheard
  if (lastReport.isLeaving) return MemberState.leaving
  return now - lastReport.receivedAt <= MAX_REPORT_AGE_MS ? MemberState.live : MemberState.suspected
}
