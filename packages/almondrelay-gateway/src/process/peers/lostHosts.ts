import { putBounded } from '../../request/putBounded.js'
import type { FleetState } from '../fleet/fleetState.js'

/**
 * Milliseconds for which a host whose entry has gone may still serve callers: its lease ends too when it is cut off from the
 * store. One that is started again or takes its leave is known at once.
 */
const LOST_MS = 30_000
/** Names that are remembered: twice the hosts of the largest fleet. */
const MOST_LOST = 10_000

/** Hosts whose entries went from the store without their leave, and that may still serve callers. */
export class LostHosts {
  private readonly lostAt = new Map<string, number>()

  constructor (private readonly fleet: FleetState) {}

  add (name: string, now: number): void {
    putBounded(this.lostAt, name, now, MOST_LOST)
  }

  count (now: number): number {
    for (const [name, at] of this.lostAt) {
      if (now - at > LOST_MS || this.fleet.findHost(name) !== undefined) this.lostAt.delete(name)
    }
    return this.lostAt.size
  }
}
