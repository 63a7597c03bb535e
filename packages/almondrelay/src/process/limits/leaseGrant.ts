import type { SlotLease } from './slotLease.js'

/** A standby's answer to a request for leases. */
export interface LeaseGrant {
  granted: SlotLease[]
  refused: SlotLease[]
}
