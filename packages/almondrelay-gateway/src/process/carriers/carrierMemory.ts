import { putBounded } from '../../request/putBounded.js'

/** Milliseconds for which a host that has no room, is stopping or doesn't answer is not asked to carry anything. */
const NO_ROOM_MS = 500
/** Milliseconds for which a host that doesn't reach a target is not asked to carry attempts to it. */
const NOT_REACHED_MS = 1_000
/** Maximum pairs of a host and a target that are kept. */
const MAX_PAIRS = 20_000

/** Which hosts could not carry attempts a moment ago. */
export class CarrierMemory {
  private readonly hostsUntil = new Map<string, number>()
  private readonly pairsUntil = new Map<string, number>()

  observeNoRoom (host: string, now: number): void {
    putBounded(this.hostsUntil, host, now + NO_ROOM_MS, MAX_PAIRS)
  }

  observeNotReached (host: string, targetId: string, now: number): void {
    putBounded(this.pairsUntil, describePair(host, targetId), now + NOT_REACHED_MS, MAX_PAIRS)
  }

  /** Whether a host may be asked to carry an attempt to a target. */
  isUsable (host: string, targetId: string, now: number): boolean {
    return now >= (this.hostsUntil.get(host) ?? -Infinity) && now >= (this.pairsUntil.get(describePair(host, targetId)) ?? -Infinity)
  }
}

const describePair = (host: string, targetId: string): string => `${host} ${targetId}`
