import type { RosterHost } from './rosterHost.js'

/** Whether both are the same process (name and incarnation), not only the same machine. */
export function isSameHost (left: RosterHost, right: RosterHost): boolean {
  return left.name === right.name && left.incarnation === right.incarnation
}
