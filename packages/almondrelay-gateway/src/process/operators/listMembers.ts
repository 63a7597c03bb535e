import { MemberState, type Member } from 'almondrelay/operators'
import type { FleetState } from '../fleet/fleetState.js'
import type { HostEntry } from '../fleet/hostEntry.js'
import type { PeerView } from '../peers/peerView.js'

/** Milliseconds of silence after which a host counts as unreachable: the word of another region comes every 2 s. */
const SILENCE_MS = 5_000

interface MemberParts {
  own: HostEntry
  fleet: FleetState
  view: PeerView
  ownRevision: number
  isLeaving: boolean
}

/** Every host of the fleet with the revision of the operators' resources in force there, as last heard. */
export function listMembers ({ own, fleet, view, ownRevision, isLeaving }: MemberParts, now: number): Member[] {
  return fleet.listHosts().map((entry) => {
    const word = entry.name === own.name ? { heardAt: now, isLeaving, declaredRevision: ownRevision } : view.findWord(entry)
    return describeMember(entry, word, now)
  })
}

const describeMember = (entry: HostEntry, word: ReturnType<PeerView['findWord']>, now: number): Member => ({
  host: entry.name,
  incarnation: Number.parseInt(entry.incarnation, 10) || 0,
  availabilityZone: entry.availabilityZone,
  region: entry.region,
  callerAddress: `${entry.ip}:${entry.callerPort}`,
  peerAddress: `${entry.ip}:${entry.peerPort}`,
  revision: word?.declaredRevision ?? 0,
  loads: [],
  state: findState(word, now),
  heardAgeMs: word === undefined ? 0 : Math.round(now - word.heardAt)
})

const findState = (word: ReturnType<PeerView['findWord']>, now: number): MemberState => {
  if (word === undefined) return MemberState.unheard
  if (word.isLeaving) return MemberState.leaving
  return now - word.heardAt <= SILENCE_MS ? MemberState.live : MemberState.suspected
}
