import type { SlotLease } from './slotLease.js'

/** An owner's request to one standby. */
export interface LeaseRequest {
  /** Name of the host that the request goes to. */
  standby: string
  /** Monotonic time of sending on the requesting host's clock, from which the term counts. */
  sentAt: number
  leases: SlotLease[]
}
