import type { SuspectState } from './suspectState.js'

/** Which request, of whom. */
export type SuspectName = Pick<SuspectState, 'fingerprint' | 'organisation'>
