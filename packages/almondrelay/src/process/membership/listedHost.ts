import type { Summary } from './summary.js'

/** A host as the settings or the platform's list name it. */
export type ListedHost = Pick<Summary, 'host' | 'availabilityZone' | 'region' | 'callerAddress' | 'peerAddress' | 'isLeaving'>
