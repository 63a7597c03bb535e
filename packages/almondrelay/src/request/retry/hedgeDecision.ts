/** Whether to start a second attempt: now, never, or to be decided again after `afterMs`. */
export type HedgeDecision =
  | { kind: 'hedge' }
  | { kind: 'wait', afterMs: number }
  | { kind: 'never' }
