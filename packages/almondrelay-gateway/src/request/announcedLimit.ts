/**
 * Milliseconds for which a target must state a higher limit, or none, before it is used. A limit binds over a window of this length,
 * and answers that overtake each other would otherwise raise it for a moment.
 */
const RAISE_DELAY_MS = 4_000
/** Lowest requests per second that are sent to a target: only its answers can lift a limit of 0. */
const MIN_PER_SECOND = 0.25

/** The requests per second that a target states that it takes from all hosts together. Times are monotonic milliseconds. */
export class AnnouncedLimit {
  /** Limit in force; Infinity where there is none. */
  perSecond = Infinity
  /** Limit that the target stated last; Infinity where it stated none. */
  stated = Infinity
  /** Time at which the target's last answer arrived at a host. */
  heardAt = -Infinity
  /** The lowest of the limits stated since `since`, all of which are higher than the one in force. */
  private raise: { perSecond: number, since: number } | undefined

  /**
   * Records a stated limit.
   *
   * @param stated Infinity where the target stated none
   * @param sentAt time at which the request of the answer was sent. An answer to a request sent before the last answer arrived may be
   * older than that answer, and doesn't raise the limit.
   * @returns whether the limit in force changed
   */
  observe (stated: number, sentAt: number, heardAt: number): boolean {
    const perSecond = Math.max(MIN_PER_SECOND, stated)
    if (perSecond > this.stated && sentAt < this.heardAt) return false
    this.stated = perSecond
    this.heardAt = Math.max(this.heardAt, heardAt)
    return perSecond > this.perSecond ? this.applyRaised(perSecond, heardAt) : this.applyLowered(perSecond)
  }

  private applyLowered (perSecond: number): boolean {
    const isChanged = perSecond < this.perSecond
    this.perSecond = perSecond
    this.raise = undefined
    return isChanged
  }

  private applyRaised (perSecond: number, heardAt: number): boolean {
    this.raise = { perSecond: Math.min(perSecond, this.raise?.perSecond ?? Infinity), since: this.raise?.since ?? heardAt }
    if (heardAt - this.raise.since < RAISE_DELAY_MS) return false
    this.perSecond = this.raise.perSecond
    this.raise = undefined
    return true
  }
}
