import type { Member } from './member.js'
import { MemberState } from './memberState.js'

/** Hosts of a zone that watch the platform: two, so that one continues when the other fails. */
const WATCHERS_PER_ZONE = 2

/** Chooses the watchers of a zone: the first live hosts by name. Hosts whose membership differs may choose others; additional watchers do no harm. */
export function chooseWatchers (members: readonly Member[], availabilityZone: string): string[] {
  return members
    .filter((member) => member.availabilityZone === availabilityZone && member.state === MemberState.live)
    .map((member) => member.host)
    .sort()
    .slice(0, WATCHERS_PER_ZONE)
}
