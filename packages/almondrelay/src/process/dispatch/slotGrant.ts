import type { HeldCredit } from './heldCredit.js'

/** Where a request may run: on one of this host's own targets, or on a peer's target for which the peer granted a credit. */
export type SlotGrant =
  | { kind: 'own', target: string }
  | { kind: 'credit', credit: HeldCredit }
