import type { Summary } from './summary.js'

/** What is kept of one host; `ageMs` of a summary becomes `heardAt`. */
export interface MemberEntry extends Omit<Summary, 'ageMs' | 'isSilent'> {
  /** When it last spoke, to this host or to one that told of it; -Infinity where never. */
  heardAt: number
  /** When it last spoke to this host. */
  directAt: number
  /** A neighbour of it, perhaps this host, has found it silent since `heardAt`. */
  isSilent: boolean
  /** Tries of this host in a row that were not answered, and when the first of them failed. */
  failures: number
  failedSince: number
  /** When this host last tried it in vain. */
  triedAt: number
  /** When the host list last named it; Infinity where the settings do, -Infinity where nothing does. */
  listedAt: number
  /** The host list says that it is leaving. */
  isListedLeaving: boolean
}
