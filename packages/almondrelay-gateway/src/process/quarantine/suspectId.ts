import type { SuspectState } from './suspectState.js'

/** Identifies a suspect by its request and organisation. */
export type SuspectId = Pick<SuspectState, 'fingerprint' | 'organisation'>
