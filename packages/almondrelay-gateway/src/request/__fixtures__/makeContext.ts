import type { ChoiceContext } from '../choiceContext.js'

/** Makes the context of a choice at time 0 in region `akl`, with some fields replaced. */
export function makeContext (context: Partial<ChoiceContext> = {}): ChoiceContext {
  return {
    now: 0,
    keyHash: 1,
    homeRegion: 'akl',
    findRoundTripMs: (region) => region === 'akl' ? 2 : 40,
    warmMs: 100,
    coldMs: 300,
    meanMs: 100,
    targetLatencyMs: 250,
    isEligible: () => true,
    allowCold: () => false,
    allowSend: () => true,
    isLimited: () => false,
    isWarmUpRequest: false,
    canSpill: true,
    ...context
  }
}
