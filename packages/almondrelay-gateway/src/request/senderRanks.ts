import { computeHash } from '../version/computeHash.js'
import { computePairHash } from '../version/computePairHash.js'
import { MAX_TRACKED_TARGETS } from './maxTrackedTargets.js'
import { putBounded } from './putBounded.js'
import type { TargetState } from './targetState.js'

/** Ranks hosts by rendezvous hashing for each target, so that hosts that know the same hosts agree which of them may send to it. */
export class SenderRanks {
  /** Rank of this host by target id; valid for as long as the same list of hosts is given. */
  private readonly rankByTarget = new Map<string, { hosts: readonly string[], rank: number }>()

  constructor (private readonly ownHost: string) {}

  /** @returns number of hosts that rank before this one; Infinity if this host isn't in the list */
  findRank (target: TargetState, hosts: readonly string[]): number {
    const { id } = target.entry
    const known = this.rankByTarget.get(id)
    if (known?.hosts === hosts) return known.rank
    const rank = this.computeRank(target, hosts)
    putBounded(this.rankByTarget, id, { hosts, rank }, MAX_TRACKED_TARGETS)
    return rank
  }

  drop (targetId: string): void {
    this.rankByTarget.delete(targetId)
  }

  private computeRank (target: TargetState, hosts: readonly string[]): number {
    if (!hosts.includes(this.ownHost)) return Infinity
    const weigh = (host: string): number => computePairHash(computeHash(host), target.hash)
    const own = weigh(this.ownHost)
    return hosts.filter((host) => weigh(host) > own).length
  }
}
