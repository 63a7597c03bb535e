import type { SuspectWord } from './suspectWord.js'

/** Which request, of whom. */
export type SuspectName = Pick<SuspectWord, 'fingerprint' | 'organisation'>
