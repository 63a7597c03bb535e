import type { TargetFault } from '../fleet/targetFault.js'

/** One event of a random interleaving. Indexes are taken modulo what there is. */
export interface InterleavingStep {
  action: 'send' | 'repeat' | 'kill' | 'freeze' | 'wake' | 'cut' | 'loseAnswers' | 'break' | 'delay' | 'silence' | 'heal' | 'target' | 'drain'
  host: number
  peer: number
  zone: string
  targetFault: TargetFault
  waitMs: number
}
