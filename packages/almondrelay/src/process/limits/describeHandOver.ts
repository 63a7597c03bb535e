import { isSameHost } from './isSameHost.js'
import { listBindingGrants } from './listBindingGrants.js'
import type { PartHandOver } from './partHandOver.js'
import type { PartState } from './partState.js'
import type { RosterHost } from './rosterHost.js'

/**
 * Describes the hand-over of a part to the host that claims it; empty where this host did not hand the part over, or handed
 * it to another host or at another view and no grant still binds.
 */
export function describeHandOver (state: PartState | undefined, sender: RosterHost, viewKey: string, now: number): PartHandOver[] {
  const given = state?.given
  if (state === undefined || given === undefined) return []
  const toAsker = given.viewKey === viewKey && isSameHost(given.to, sender)
  const grants = listBindingGrants(given, now)
  return toAsker || grants.length > 0 ? [{ part: state.part.id, grants, toAsker }] : []
}
