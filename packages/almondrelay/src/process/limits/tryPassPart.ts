import type { PartState } from './partState.js'
import type { RosterHost } from './rosterHost.js'

/** Hands a held part over to its next holder; false while work of this host still needs the part. In both cases new work no longer uses the part. */
export function tryPassPart (state: PartState, to: RosterHost, viewKey: string, now: number): boolean {
  state.usable = false
  const grants = state.user.tryHandOver(state.part.id, now)
  if (grants === undefined) return false
  state.held = false
  state.lostAt = now
  state.given = { to, viewKey, at: now, grants }
  return true
}
