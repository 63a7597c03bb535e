import { SenderRanks } from './senderRanks.js'
import type { TargetState } from './targetState.js'

/**
 * Share of a cold target's permitted rate that its one sending host uses. Two hosts that see different fleets may both take
 * themselves for the sending host; the operators' bound of one and a half times the rate is enough for twice this share.
 */
const RATE_SHARE = 0.7

/**
 * Lets one host send requests to a cold target, evenly spaced.
 *
 * A target that comes back cold crashes if it gets more requests than its permitted rate, and no host can see what the others
 * send. So only one host sends: the first by rendezvous hashing among the live ones.
 */
export class ColdAllowance {
  private readonly nextSendAt = new Map<string, number>()
  private readonly ranks: SenderRanks

  constructor (ownHost: string) {
    this.ranks = new SenderRanks(ownHost)
  }

  /** @param hosts names of the live hosts that may send; undefined while they are unknown */
  allow (target: TargetState, perSecond: number, hosts: readonly string[] | undefined, now: number): boolean {
    if (perSecond <= 0 || hosts === undefined || this.ranks.findRank(target, hosts) > 0) return false
    return now >= (this.nextSendAt.get(target.entry.id) ?? 0)
  }

  /** Records a request that is sent to a cold target now. */
  observeSend (target: TargetState, perSecond: number, now: number): void {
    this.nextSendAt.set(target.entry.id, now + 1_000 / (perSecond * RATE_SHARE))
  }

  drop (targetId: string): void {
    this.nextSendAt.delete(targetId)
    this.ranks.drop(targetId)
  }
}
