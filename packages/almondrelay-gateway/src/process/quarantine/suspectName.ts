import type { SuspectState } from './suspectState.js'

/** Identifies a suspect by its request and organisation. */
export type SuspectName = Pick<SuspectState, 'fingerprint' | 'organisation'>
