import type { KnownUse } from '../../request/knownUse.js'

/** The organisations' requests at the hosts of one availability zone. */
export interface ZoneUse {
  /** Hosts whose requests are in it. */
  hosts: number
  /** Milliseconds of the window in which the sender didn't listen yet, so that what was let through then isn't in it. */
  unseenMs: number
  /** By the hash of the organisation's name; organisations that are far from their limit are left out. */
  uses: ReadonlyMap<number, KnownUse>
}
