/** Milliseconds after the store's recovery within which entries that expired during the outage may be written again. */
const RETURN_MS = 2_000

/** Tracks outages of the store, by the results of calls to it. Times are monotonic milliseconds. */
export class StoreHealth {
  /** Called at the first answer after a failure. */
  handleReturn: () => void = () => undefined
  private failingSince: number | undefined
  private returnedAt = -Infinity

  /** Records an answer of the store; returns whether it is the first after a failure. */
  observeAnswer (now: number): boolean {
    if (this.failingSince === undefined) return false
    this.failingSince = undefined
    this.returnedAt = now
    this.handleReturn()
    return true
  }

  /** Records a failed call; returns whether it is the first failure after an answer. */
  observeFailure (now: number): boolean {
    if (this.failingSince !== undefined) return false
    this.failingSince = now
    return true
  }

  /** Returns the time until which an entry that expired during an outage may be written again. */
  findLapseEnd (now: number): number {
    const hasReturned = this.failingSince === undefined && now - this.returnedAt < RETURN_MS
    return (hasReturned ? this.returnedAt : now) + RETURN_MS
  }
}
