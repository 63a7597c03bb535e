import type { Summary } from './summary.js'

/** A host as named by the settings or the platform's host list. */
export type ListedHost = Pick<Summary, 'host' | 'availabilityZone' | 'region' | 'callerAddress' | 'peerAddress' | 'isLeaving'>
