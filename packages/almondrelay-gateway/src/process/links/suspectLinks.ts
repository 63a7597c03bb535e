import { MAX_TRACKED_TARGETS } from '../../request/maxTrackedTargets.js'
import { putBounded } from '../../request/putBounded.js'
import type { TargetState } from '../../request/targetState.js'

/** Probes that each lost link allows, and the maximum that is allowed at a time: one lost link alone must cost only a few connections. */
const PROBES_PER_LOSS = 4
const MAX_PROBES = 12
/** Milliseconds after the last loss within which further links are suspect. */
const SUSPICION_MS = 1_000
/** Milliseconds before the same target is probed again. */
const REPEAT_MS = 500

/**
 * Decides which links to probe once a link is lost: a cut often takes further ones, in zones of which other targets answer, and requests on
 * their open connections would hang. Links that refuse or reset connections show by themselves with the next request. Each link that turns
 * out to be lost allows more probes, so that a cut of many links is found at a growing rate.
 */
export class SuspectLinks {
  private allowed = 0
  private firstLossAt = -Infinity
  private lastLossAt = -Infinity
  private readonly probedAt = new Map<string, number>()

  /** Records that a link was lost over which connections hang. */
  observeLoss (now: number): void {
    if (now - this.lastLossAt > SUSPICION_MS) {
      this.allowed = 0
      this.firstLossAt = now
    }
    this.lastLossAt = now
    this.allowed = Math.min(MAX_PROBES, this.allowed + PROBES_PER_LOSS)
  }

  /**
   * Takes the targets to probe now: those without contact since the first of the losses, in availability zones of which another target
   * was in contact since. Of a zone without any contact two lost links are enough for the link table. Those with running requests come
   * first, then those with the oldest contact; targets that this host hasn't used come last.
   *
   * @param listTargets the targets whose links aren't lost
   */
  takeProbes (listTargets: () => readonly TargetState[], now: number): TargetState[] {
    if (this.allowed === 0 || now - this.lastLossAt > SUSPICION_MS) return []
    const targets = listTargets()
    const hasContact = (target: TargetState): boolean => target.computeContactAge(now) < now - this.firstLossAt
    const zones = new Set(targets.filter(hasContact).map(({ entry }) => entry.availabilityZone))
    const suspects = targets
      .filter((target) => zones.has(target.entry.availabilityZone) && !hasContact(target) && now - (this.probedAt.get(target.entry.id) ?? -Infinity) >= REPEAT_MS)
      .sort((one, other) => rank(one, now) - rank(other, now))
      .slice(0, this.allowed)
    this.allowed -= suspects.length
    for (const { entry } of suspects) putBounded(this.probedAt, entry.id, now, MAX_TRACKED_TARGETS)
    return suspects
  }
}

const rank = (target: TargetState, now: number): number => {
  const ageMs = target.computeContactAge(now)
  if (!Number.isFinite(ageMs)) return 1
  return target.inFlight > 0 ? -Number.MAX_VALUE : -ageMs
}
