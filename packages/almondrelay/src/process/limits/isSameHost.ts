import type { RosterHost } from './rosterHost.js'

/** Whether both name the same process, not only the same machine. */
export function isSameHost (left: RosterHost, right: RosterHost): boolean {
  return left.name === right.name && left.incarnation === right.incarnation
}
