/** Milliseconds after the store's return in which entries that lapsed meanwhile may still come back. */
const RETURN_MS = 2_000

/** Whether the store has answered lately. Times are monotonic milliseconds. */
export class StoreHealth {
  private failingSince: number | undefined
  private returnedAt = -Infinity

  /** True where this is the first answer after a failure. */
  observeAnswer (now: number): boolean {
    if (this.failingSince === undefined) return false
    this.failingSince = undefined
    this.returnedAt = now
    return true
  }

  /** True where this is the first failure after an answer. */
  observeFailure (now: number): boolean {
    if (this.failingSince !== undefined) return false
    this.failingSince = now
    return true
  }

  /**
   * Until when an entry that is gone may only have lapsed with the store; undefined where its going is its
   * target's. While the store is away targets can't renew their entries: taking that for their end would
   * leave a host without any target.
   */
  findLapseEnd (now: number): number | undefined {
    const end = this.failingSince === undefined ? this.returnedAt + RETURN_MS : now + RETURN_MS
    return end > now ? end : undefined
  }
}
