import { putBounded } from '../../request/putBounded.js'
import type { FleetState } from '../fleet/fleetState.js'

/**
 * Milliseconds for which a host may still serve callers after its entry has been removed: its lease also ends when it is only cut off
 * from the store. A host that restarts or announces that it leaves needs no such time, as this is known at once.
 */
const LOST_HOST_RETENTION_MS = 30_000
/** Maximum names kept: twice the hosts of the largest fleet. */
const MAX_LOST_HOSTS = 10_000

/** Hosts whose entries were removed from the store without an announcement that they leave, and that may still serve callers. */
export class LostHosts {
  private readonly lostAt = new Map<string, number>()

  constructor (private readonly fleet: FleetState) {}

  add (name: string, now: number): void {
    putBounded(this.lostAt, name, now, MAX_LOST_HOSTS)
  }

  /** Returns the number of such hosts, and forgets those that came back or were lost more than LOST_HOST_RETENTION_MS ago. */
  count (now: number): number {
    for (const [name, at] of this.lostAt) {
      if (now - at > LOST_HOST_RETENTION_MS || this.fleet.findHost(name) !== undefined) this.lostAt.delete(name)
    }
    return this.lostAt.size
  }
}
