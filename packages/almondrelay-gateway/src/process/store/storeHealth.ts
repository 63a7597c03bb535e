/** Milliseconds after the store's recovery within which entries that expired during the outage may be written again. */
const LAPSE_GRACE_MS = 2_000

/** Tracks outages of the store, by the results of calls to it. Times are monotonic milliseconds. */
export class StoreHealth {
  /** Called at the first answer after a failure. */
  handleRecovery: () => void = () => undefined
  private failingSince: number | undefined
  private recoveredAt = -Infinity

  /** Records an answer of the store; returns whether it is the first after a failure. */
  observeAnswer (now: number): boolean {
    if (this.failingSince === undefined) return false
    this.failingSince = undefined
    this.recoveredAt = now
    this.handleRecovery()
    return true
  }

  /** Records a failed call; returns whether it is the first failure after an answer. */
  observeFailure (now: number): boolean {
    if (this.failingSince !== undefined) return false
    this.failingSince = now
    return true
  }

  /** Returns the time until which an entry that expired during an outage may be written again. */
  computeLapseEnd (now: number): number {
    const hasRecovered = this.failingSince === undefined && now - this.recoveredAt < LAPSE_GRACE_MS
    return (hasRecovered ? this.recoveredAt : now) + LAPSE_GRACE_MS
  }
}
