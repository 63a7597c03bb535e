/** Milliseconds after the store's return in which entries that lapsed meanwhile may still come back. */
const RETURN_MS = 2_000

/** Whether the store has answered lately. Times are monotonic milliseconds. */
export class StoreHealth {
  /** Called with the first answer after a failure. */
  handleReturn: () => void = () => undefined
  private failingSince: number | undefined
  private returnedAt = -Infinity

  /** True where this is the first answer after a failure. */
  observeAnswer (now: number): boolean {
    if (this.failingSince === undefined) return false
    this.failingSince = undefined
    this.returnedAt = now
    this.handleReturn()
    return true
  }

  /** True where this is the first failure after an answer. */
  observeFailure (now: number): boolean {
    if (this.failingSince !== undefined) return false
    this.failingSince = now
    return true
  }

  /** Until when an entry that lapsed while the store was away may come back. */
  findLapseEnd (now: number): number {
    const hasReturned = this.failingSince === undefined && now - this.returnedAt < RETURN_MS
    return (hasReturned ? this.returnedAt : now) + RETURN_MS
  }
}
