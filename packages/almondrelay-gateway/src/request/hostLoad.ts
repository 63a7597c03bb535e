/**
 * Delay of this host's own work, in milliseconds, from which it sheds requests. Turns of a processor that is shared
 * come up to 100 ms late on a host that has room; requests that waited longer than this lose their latency target.
 */
const ACCEPTED_DELAY_MS = 150
/** The part that is shed at most: some requests always go through, so that a delay that is over is seen. */
const MOST_SHED = 0.95
/** What is left of the part after each observation without a delay: from the most to a tenth within half a second. */
const CALMING = 0.8
/** Below this part nothing is shed any more. */
const LEAST_SHED = 0.02
/** Exponents for the most and the least urgent requests: the less urgent are shed more, and no kind is shut out. */
const URGENT_WEIGHT = 0.8
const PATIENT_WEIGHT = 1.2
/**
 * Milliseconds after which a shed caller may come back: twice the delay within these bounds. Another host may serve it
 * at once, and callers wait for a few seconds in all.
 */
const LEAST_RETRY_MS = 200
const LONGEST_RETRY_MS = 1_000
const RETRY_DELAYS = 2

/**
 * Whether this host has processor time for one more request.
 *
 * Answers a host that gets more requests than its processor carries, as the last one left of many, or one that was just
 * restarted: requests wait unread for seconds, callers leave meanwhile, and the host then spends its time on requests
 * whose callers are gone, so that almost nobody is served. Refused at once, a caller finds another host or comes
 * back, and those who are let in are answered in time. The delay is that of a timer of the host's own or of
 * the request that waits longest for its turn.
 */
export class HostLoad {
  private delayMs = 0
  private readDelayMs = 0
  private shedPart = 0

  /**
   * Takes note of how late this host is; true where shedding begins or ends with it.
   *
   * @param readDelayMs for how long what has been read, or is due, waits to be worked on
   * @param acceptDelayMs for how long connections have waited to be accepted
   */
  observeDelay (readDelayMs: number, acceptDelayMs = 0): boolean {
    const wasShedding = this.isShedding
    const delayMs = Math.max(readDelayMs, acceptDelayMs)
    this.readDelayMs = readDelayMs
    this.delayMs = delayMs
    // Of the work of one delay, what fits into the accepted one is kept.
    const excess = delayMs > ACCEPTED_DELAY_MS ? 1 - ACCEPTED_DELAY_MS / delayMs : 0
    const calmed = this.shedPart * CALMING
    this.shedPart = Math.min(MOST_SHED, Math.max(excess, calmed < LEAST_SHED ? 0 : calmed))
    return this.isShedding !== wasShedding
  }

  get isShedding (): boolean {
    return this.shedPart > 0
  }

  /** How late this host is, in milliseconds. */
  get delay (): number {
    return this.delayMs
  }

  /** How long a request on an open connection waits here before it is read, in milliseconds. */
  get readDelay (): number {
    return this.readDelayMs
  }

  /**
   * @param patience 0 for the most urgent requests, 1 for the least
   * @param random in [0, 1)
   */
  allow (patience: number, random: number): boolean {
    if (this.shedPart === 0) return true
    const weight = URGENT_WEIGHT + (PATIENT_WEIGHT - URGENT_WEIGHT) * patience
    return random < (1 - this.shedPart) ** weight
  }

  /**
   * Milliseconds after which a shed caller may come back, spread so that not all return together.
   *
   * @param random in [0, 1)
   */
  computeRetryAfter (random: number): number {
    return Math.min(LONGEST_RETRY_MS, Math.max(LEAST_RETRY_MS, this.delayMs * RETRY_DELAYS)) * (1 + random)
  }
}
