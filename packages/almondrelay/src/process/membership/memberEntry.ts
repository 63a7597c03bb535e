import type { Summary } from './summary.js'

/** Stored state of one host; `ageMs` of a summary becomes `heardAt`. */
export interface MemberEntry extends Omit<Summary, 'ageMs' | 'isSilent'> {
  /** Time of the last report from the host, received directly or through a peer; -Infinity where there was none. */
  heardAt: number
  /** Time of the last report that this host received directly. */
  directAt: number
  /** A neighbour of the host, perhaps this one, has found it silent since `heardAt`. */
  isSilent: boolean
  /** Consecutive attempts by this host that were not answered, and the time at which the first of them failed. */
  failures: number
  failedSince: number
  /** Time of this host's last failed attempt to reach it. */
  lastFailedAt: number
  /** Time at which the host list last named it; Infinity where the settings name it, -Infinity where neither does. */
  listedAt: number
  /** The host list says that it is leaving. */
  isListedLeaving: boolean
}
