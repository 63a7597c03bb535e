/** Milliseconds after an outage within which entries that expired in it may be written again. */
const LAPSE_GRACE_MS = 2_000
/**
 * Heartbeat intervals for which the store must have answered nobody before entries of live targets can have expired: an entry expires
 * after three without a heartbeat, and the last heartbeat may be one interval old when the outage begins, or a little more if it was late.
 */
const MIN_SILENT_HEARTBEATS = 1.7
/** Milliseconds of the time within which a removal must be in force that are left for the check that ends a lapse. */
const CHECK_MARGIN_MS = 300

interface HealthBounds {
  /** Milliseconds between the heartbeats of a target. */
  heartbeatMs: number
  /** Milliseconds within which the removal of a target must be in force. */
  removalInForceMs: number
}

/** A time in which no answer of the store to any host is known. */
interface Silence {
  endedAt: number
  /** Start of the last call of this host that failed in it; undefined if there was none. */
  lastFailedCallAt: number | undefined
}

/**
 * Tracks outages of the store, by the results of this host's calls and by what other hosts report of theirs. Times are monotonic
 * milliseconds.
 */
export class StoreHealth {
  /** Called at the first answer after a failure. */
  handleRecovery: () => void = () => undefined
  /** Called at the first failure after an answer. */
  handleFailure: () => void = () => undefined
  private isFailing = false
  /** When the store last answered this host or, by their reports, another one. */
  private lastContactAt: number | undefined
  /** Start of the last call of this host that failed since the last contact. */
  private lastFailedCallAt: number | undefined
  /** The last silence that was long enough for entries of live targets to expire. */
  private silence: Silence | undefined

  constructor (private readonly bounds: HealthBounds) {}

  /** Whether the last call of this host was answered. */
  get isAnswering (): boolean {
    return !this.isFailing
  }

  /** Records an answer of the store; returns whether it is the first after a failure. */
  observeAnswer (now: number): boolean {
    this.observeContact(now)
    if (!this.isFailing) return false
    this.isFailing = false
    this.handleRecovery()
    return true
  }

  /**
   * Records a failed call; returns whether it is the first failure after an answer.
   *
   * @param startedAt when the call was made
   */
  observeFailure (startedAt: number): boolean {
    this.lastContactAt ??= startedAt
    if (startedAt >= this.lastContactAt) this.lastFailedCallAt = Math.max(this.lastFailedCallAt ?? -Infinity, startedAt)
    if (this.isFailing) return false
    this.isFailing = true
    this.handleFailure()
    return true
  }

  /** Records that the store answered a host at a time. */
  observeContact (at: number): void {
    if (this.lastContactAt !== undefined && at <= this.lastContactAt) return
    if (this.isSilent(at)) this.silence = { endedAt: at, lastFailedCallAt: this.lastFailedCallAt }
    this.lastContactAt = at
    this.lastFailedCallAt = undefined
  }

  /** Records that the store has returned from a copy, which may lack entries of live targets after the shortest outage. */
  observeReturn (now: number): void {
    this.silence = { endedAt: now, lastFailedCallAt: undefined }
  }

  /**
   * Returns the time until which an entry that expired during an outage may be written again; undefined if none of a live target can have
   * expired, or if that time is over.
   *
   * A host that alone was cut off from the store can't always tell this from an outage, and the removals that it missed are in force by
   * the time that counts from the end of its cut. That was no earlier than the start of its last failed call.
   */
  findLapseEnd (now: number): number | undefined {
    const silence = this.isSilent(now) ? { endedAt: now, lastFailedCallAt: this.lastFailedCallAt } : this.silence
    if (silence === undefined) return undefined
    const latest = (silence.lastFailedCallAt ?? Infinity) + this.bounds.removalInForceMs - CHECK_MARGIN_MS
    const end = Math.min(silence.endedAt + LAPSE_GRACE_MS, latest)
    return end > now ? end : undefined
  }

  private isSilent (now: number): boolean {
    return this.lastContactAt !== undefined && now - this.lastContactAt >= this.bounds.heartbeatMs * MIN_SILENT_HEARTBEATS
  }
}
