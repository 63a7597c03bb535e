import type { HeldCredit } from './heldCredit.js'

/** Where a request may run: on a target of this host's own, or at a peer by its credit. */
export type SlotGrant =
  | { kind: 'own', target: string }
  | { kind: 'credit', credit: HeldCredit }
