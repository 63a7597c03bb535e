import type { PartState } from './partState.js'
import type { RosterHost } from './rosterHost.js'

/** Gives a held part up to the host that is to hold it; false while work of this host still needs it. New work doesn't use it from then on. */
export function tryPassPart (state: PartState, to: RosterHost, viewKey: string, now: number): boolean {
  state.usable = false
  const grants = state.user.tryGiveUp(state.part.id, now)
  if (grants === undefined) return false
  state.held = false
  state.lostAt = now
  state.given = { to, viewKey, at: now, grants }
  return true
}
