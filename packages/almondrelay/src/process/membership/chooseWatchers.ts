import type { Member } from './member.js'
import { MemberState } from './memberState.js'

/** Hosts of a zone that watch the platform: one may die while the other goes on. */
const WATCHERS = 2

/** The watchers of a zone: the first by name among the live. Another view may choose others; more watchers do no harm. */
export function chooseWatchers (members: readonly Member[], availabilityZone: string): string[] {
  return members
    .filter((member) => member.availabilityZone === availabilityZone && member.state === MemberState.live)
    .map((member) => member.host)
    .sort()
    .slice(0, WATCHERS)
}
