import { rankHosts } from './rankHosts.js'
import type { Roster } from './roster.js'
import type { RosterHost } from './rosterHost.js'

interface Owners {
  /** Undefined while the roster is empty. */
  owner: RosterHost | undefined
  /** Undefined while the roster has one host. */
  standby: RosterHost | undefined
}

/** The host that owns a target's floor, and the one that grants it the rest; the key is `<service>/<target>`. */
export function chooseOwners (key: string, roster: Pick<Roster, 'hosts'>): Owners {
  const [owner, standby] = rankHosts(key, roster.hosts)
  return { owner, standby }
}
