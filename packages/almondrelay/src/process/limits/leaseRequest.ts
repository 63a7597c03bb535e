import type { SlotLease } from './slotLease.js'

/** What an owner asks of one standby. */
export interface LeaseRequest {
  /** Name of the host that is asked. */
  standby: string
  /** Monotonic time of sending on the asker's clock, from which the term counts. */
  sentAt: number
  leases: SlotLease[]
}
