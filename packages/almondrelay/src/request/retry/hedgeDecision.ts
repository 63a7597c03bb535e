/** Whether to start a second attempt: now, maybe after `afterMs`, or never. */
export type HedgeDecision =
  | { kind: 'hedge' }
  | { kind: 'wait', afterMs: number }
  | { kind: 'never' }
