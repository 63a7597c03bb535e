import type { RenewSlotLeaseRequest } from 'almondrelay-protocol'
import type { HostSlots } from '../../process/limits/hostSlots.js'
import type { LeaseGrant } from '../../process/limits/leaseGrant.js'
import { toRosterHost } from './toRosterHost.js'

/** Handles an owner's request for slot leases; the result has the shape of RenewSlotLeaseResponse. */
export function handleSlotLeases (slots: HostSlots, request: Pick<RenewSlotLeaseRequest, 'sender' | 'leases'>, now: number): LeaseGrant {
  const sender = toRosterHost(request.sender)
  if (sender === undefined) return { granted: [], refused: request.leases }
  return slots.grantLeases(sender, request.leases, now)
}
