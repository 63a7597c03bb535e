import type { SuspectReport as Message, SuspectRequest } from 'almondrelay-protocol'
import { RequestFingerprint } from './requestFingerprint.js'
import type { SuspectReport } from './suspectReport.js'

/** Maximum length of a name in characters; no host sends a longer one. */
const LONGEST_NAME = 200
/** Maximum number of suspects in one report: twice what a host sends. */
const MOST_SUSPECTS = 16
/** Maximum number of target incarnations in each list of a suspect, above what a host sends. */
const MOST_LIVES = 64

/** Decodes a host's report of suspects. Returns undefined if no host can have sent it, because anybody may send to the port. */
export function decodeSuspectReport ({ host, incarnation, suspects, passesOn }: Message): SuspectReport | undefined {
  if (host.length === 0 || host.length > LONGEST_NAME || suspects.length > MOST_SUSPECTS || !suspects.every(isUsable)) return undefined
  return { host, incarnation, passesOn, suspects: suspects.map(({ fingerprint, organisation, ended, cleared }) => ({ fingerprint, organisation, ended, cleared })) }
}

const isUsable = ({ fingerprint, organisation, ended, cleared }: SuspectRequest): boolean =>
  RequestFingerprint.isText(fingerprint) && organisation.length <= LONGEST_NAME && ended.length <= MOST_LIVES && cleared.length <= MOST_LIVES
