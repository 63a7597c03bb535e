import type { SuspectReport as Message, SuspectRequest } from 'almondrelay-protocol'
import { RequestFingerprint } from './requestFingerprint.js'
import type { SuspectReport } from './suspectReport.js'

/** Maximum length of a name in characters; no host sends a longer one. */
const MAX_NAME_LENGTH = 200
/** Maximum number of suspects in one report: twice what a host sends. */
const MAX_SUSPECTS = 16
/** Maximum number of target incarnations in each list of a suspect, above what a host sends. */
const MAX_INCARNATIONS = 64

/** Decodes a host's report of suspects. Returns undefined if no host can have sent it, because anybody may send to the port. */
export function decodeSuspectReport ({ host, incarnation, suspects, passesOn }: Message): SuspectReport | undefined {
  if (host.length === 0 || host.length > MAX_NAME_LENGTH || suspects.length > MAX_SUSPECTS || !suspects.every(isValid)) return undefined
  return { host, incarnation, passesOn, suspects: suspects.map(({ fingerprint, organisation, ended, cleared }) => ({ fingerprint, organisation, ended, cleared })) }
}

const isValid = ({ fingerprint, organisation, ended, cleared }: SuspectRequest): boolean =>
  RequestFingerprint.isValid(fingerprint) && organisation.length <= MAX_NAME_LENGTH && ended.length <= MAX_INCARNATIONS && cleared.length <= MAX_INCARNATIONS
