import { MAX_TRACKED_TARGETS } from './maxTrackedTargets.js'
import { putBounded } from './putBounded.js'
import { SenderRanks } from './senderRanks.js'
import type { TargetState } from './targetState.js'

const SECOND_MS = 1_000
/** Hosts that share a limit of less than one request per second. */
const MIN_SENDERS = 2
/** Part of the interval between two sends by which a send may come early, so that a late one doesn't delay all those after it. */
const MAX_EARLY_SHARE = 0.5

/**
 * Shares the request limit of a target among hosts.
 *
 * The limit is that of all hosts together, and no host sees what the others send. So only as many hosts as the limit has requests per
 * second, and two more, send to the target: the first ones by rendezvous hashing. Each has an equal part of the limit and spaces its
 * requests evenly. With parts for all hosts of a large fleet, each could send one request at the same moment, which is more than the
 * target takes in seconds; with a single sender most requests for the target would arrive at other hosts.
 */
export class LimitAllowance {
  /** Earliest regular time of the next send, in monotonic milliseconds, by target id. */
  private readonly nextSendAt = new Map<string, number>()
  private readonly ranks: SenderRanks

  constructor (ownHost: string, private readonly random: () => number) {
    this.ranks = new SenderRanks(ownHost)
  }

  /**
   * Returns the milliseconds until this host may send a request to the target; Infinity if it isn't one of those that may.
   *
   * @param hosts names of the live hosts that may send; undefined while they are unknown
   */
  computeWait (target: TargetState, perSecond: number, hosts: readonly string[] | undefined, now: number): number {
    const senders = countSenders(perSecond, hosts)
    if (hosts === undefined || this.ranks.findRank(target, hosts) >= senders) return Infinity
    const intervalMs = computeInterval(perSecond, senders)
    return this.planNextSendAt(target, intervalMs, now) - intervalMs * MAX_EARLY_SHARE - now
  }

  /** Records a request that is sent to the target now. */
  observeSend (target: TargetState, perSecond: number, hosts: readonly string[] | undefined, now: number): void {
    const intervalMs = computeInterval(perSecond, countSenders(perSecond, hosts))
    putBounded(this.nextSendAt, target.entry.id, Math.max(now, this.planNextSendAt(target, intervalMs, now)) + intervalMs, MAX_TRACKED_TARGETS)
  }

  // All hosts may learn of a limit at the same moment, so each begins at a random time of its first interval. After a change of the
  // limit, the next send is at most one interval away.
  private planNextSendAt (target: TargetState, intervalMs: number, now: number): number {
    const { id } = target.entry
    const known = this.nextSendAt.get(id)
    const nextSendAt = known === undefined ? now + intervalMs * (MAX_EARLY_SHARE + this.random()) : Math.min(known, now + intervalMs * (1 + MAX_EARLY_SHARE))
    putBounded(this.nextSendAt, id, nextSendAt, MAX_TRACKED_TARGETS)
    return nextSendAt
  }
}

const countSenders = (perSecond: number, hosts: readonly string[] | undefined): number =>
  Math.min(hosts?.length ?? 0, MIN_SENDERS + Math.floor(perSecond))

const computeInterval = (perSecond: number, senders: number): number => SECOND_MS * senders / perSecond
