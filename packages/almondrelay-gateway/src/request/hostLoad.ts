/**
 * Delay of this host's own work, in milliseconds, above which it sheds requests. On a shared processor, time slices come up to
 * 100 ms late even on a host that has capacity left; requests that waited longer than this delay miss their latency target.
 */
const ACCEPTED_DELAY_MS = 150
/** Maximum share of requests that is shed: some requests are always admitted, so that the host notices when the delay is over. */
const MAX_SHED_SHARE = 0.95
/** Factor by which the shed share falls with each observation without a delay: from the maximum to a tenth within half a second. */
const SHED_SHARE_DECAY = 0.8
/** Shed share below which nothing is shed any more. */
const MIN_SHED_SHARE = 0.02
/** Exponents for the most and the least urgent requests: less urgent requests are shed more, but no kind of request is shut out. */
const MOST_URGENT_EXPONENT = 0.8
const LEAST_URGENT_EXPONENT = 1.2
/**
 * Bounds of the time, in milliseconds, after which a shed caller may come back; between them it is twice the delay. Another host
 * may serve the caller at once, and callers wait for a few seconds in all.
 */
const MIN_RETRY_AFTER_MS = 200
const MAX_RETRY_AFTER_MS = 1_000
const RETRY_AFTER_DELAY_FACTOR = 2

/**
 * Decides whether this host has processor time for one more request.
 *
 * A host may get more requests than its processor can handle, for example as the last one left of many or just after a restart.
 * Requests then wait unread for seconds, callers disconnect meanwhile, and the host spends its time on requests whose callers are
 * gone, so that almost nobody is served. A caller that is refused at once tries another host or comes back, and the admitted
 * requests are answered in time. The delay is the lateness of a timer of the host, or the time for which the longest waiting
 * request has waited for its turn.
 */
export class HostLoad {
  private delayMs = 0
  private readDelayMs = 0
  private shedShare = 0

  /**
   * Records the current delay of this host; returns whether shedding begins or ends with it.
   *
   * @param readDelayMs milliseconds for which received data, or work that is due, waits to be processed
   * @param acceptDelayMs milliseconds for which connections have waited to be accepted
   */
  observeDelay (readDelayMs: number, acceptDelayMs = 0): boolean {
    const wasShedding = this.isShedding
    const delayMs = Math.max(readDelayMs, acceptDelayMs)
    this.readDelayMs = readDelayMs
    this.delayMs = delayMs
    // Only the share of the delayed work that fits into the accepted delay is kept.
    const excess = delayMs > ACCEPTED_DELAY_MS ? 1 - ACCEPTED_DELAY_MS / delayMs : 0
    const decayed = this.shedShare * SHED_SHARE_DECAY
    this.shedShare = Math.min(MAX_SHED_SHARE, Math.max(excess, decayed < MIN_SHED_SHARE ? 0 : decayed))
    return this.isShedding !== wasShedding
  }

  get isShedding (): boolean {
    return this.shedShare > 0
  }

  /** Current delay of this host, in milliseconds. */
  get delay (): number {
    return this.delayMs
  }

  /** Milliseconds for which a request on an open connection waits before it is read. */
  get readDelay (): number {
    return this.readDelayMs
  }

  /**
   * Whether one more request is admitted, decided at random by the shed share.
   *
   * @param relativePriority 0 for the most urgent requests, 1 for the least urgent ones
   * @param random in [0, 1)
   */
  allow (relativePriority: number, random: number): boolean {
    if (this.shedShare === 0) return true
    const exponent = MOST_URGENT_EXPONENT + (LEAST_URGENT_EXPONENT - MOST_URGENT_EXPONENT) * relativePriority
    return random < (1 - this.shedShare) ** exponent
  }

  /**
   * Computes the milliseconds after which a shed caller may come back, randomised so that callers don't all return together.
   *
   * @param random in [0, 1)
   */
  computeRetryAfter (random: number): number {
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, this.delayMs * RETRY_AFTER_DELAY_FACTOR)) * (1 + random)
  }
}
