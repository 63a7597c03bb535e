import { rankHosts } from './rankHosts.js'
import type { Roster } from './roster.js'
import type { RosterHost } from './rosterHost.js'

interface Owners {
  /** Undefined while the roster is empty. */
  owner: RosterHost | undefined
  /** Undefined while the roster has one host. */
  standby: RosterHost | undefined
}

/** Chooses the owner of a target, which holds its floor, and the standby, which grants the owner the rest. The key is `<service>/<target>`. */
export function chooseOwners (key: string, roster: Pick<Roster, 'hosts'>): Owners {
  const [owner, standby] = rankHosts(key, roster.hosts)
  return { owner, standby }
}
