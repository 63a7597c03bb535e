import { computePairHash } from '../version/computePairHash.js'
import { computeHash } from '../version/computeHash.js'
import type { TargetState } from './targetState.js'

/**
 * Part of a cold target's rate that its one host uses. Two hosts that see different fleets may both take
 * themselves for that one; the operators' bound of one and a half times the rate bears twice this part.
 */
const USED_PART = 0.7

/**
 * Lets one host send to a cold target, evenly spaced.
 *
 * Answers targets that come back cold: above the rate that they bear they crash, and each host alone
 * can't see what the others send. One host, the first by rendezvous hashing among the live ones, sends.
 */
export class ColdAllowance {
  private readonly nextAt = new Map<string, number>()
  /** Whether this host is the first for a target among hosts; it holds as long as the same list is given. */
  private readonly firsts = new Map<string, { hosts: readonly string[], isFirst: boolean }>()

  constructor (private readonly ownHost: string) {}

  /** @param hosts names of the live hosts that may send; undefined while they aren't known */
  allow (target: TargetState, perSecond: number, hosts: readonly string[] | undefined, now: number): boolean {
    if (perSecond <= 0 || hosts === undefined || !this.isFirst(target, hosts)) return false
    return now >= (this.nextAt.get(target.entry.id) ?? 0)
  }

  /** Notes a request that goes to a cold target now. */
  observeSend (target: TargetState, perSecond: number, now: number): void {
    this.nextAt.set(target.entry.id, now + 1_000 / (perSecond * USED_PART))
  }

  drop (targetId: string): void {
    this.nextAt.delete(targetId)
    this.firsts.delete(targetId)
  }

  private isFirst (target: TargetState, hosts: readonly string[]): boolean {
    const { id } = target.entry
    const known = this.firsts.get(id)
    if (known?.hosts === hosts) return known.isFirst
    const isFirst = this.weighHosts(target, hosts)
    this.firsts.set(id, { hosts, isFirst })
    return isFirst
  }

  private weighHosts (target: TargetState, hosts: readonly string[]): boolean {
    const weigh = (host: string): number => computePairHash(computeHash(host), target.hash)
    const own = weigh(this.ownHost)
    return hosts.includes(this.ownHost) && hosts.every((host) => weigh(host) <= own)
  }
}
