import type { SuspectReport as Message, SuspectRequest } from 'almondrelay-protocol'
import { RequestFingerprint } from './requestFingerprint.js'
import type { SuspectReport } from './suspectReport.js'

/** Characters of a name; longer ones aren't ours. */
const LONGEST_NAME = 200
/** Suspects and lives in one report: twice what a host sends. */
const MOST_SUSPECTS = 16
const MOST_LIVES = 64

/** What a host tells of suspects; undefined where it can't be a host's word: anybody may send to the port. */
export function decodeSuspectReport ({ host, incarnation, suspects, passesOn }: Message): SuspectReport | undefined {
  if (host.length === 0 || host.length > LONGEST_NAME || suspects.length > MOST_SUSPECTS || !suspects.every(isUsable)) return undefined
  return { host, incarnation, passesOn, suspects: suspects.map(({ fingerprint, organisation, ended, cleared }) => ({ fingerprint, organisation, ended, cleared })) }
}

const isUsable = ({ fingerprint, organisation, ended, cleared }: SuspectRequest): boolean =>
  RequestFingerprint.isText(fingerprint) && organisation.length <= LONGEST_NAME && ended.length <= MOST_LIVES && cleared.length <= MOST_LIVES
