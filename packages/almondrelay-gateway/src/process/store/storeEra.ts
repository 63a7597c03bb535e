/**
 * Era of the store: counts how often it has returned from a copy and so lost changes that it had acknowledged. Leases and revisions of
 * an earlier era mean nothing in a later one, as the store may give the same numbers out again.
 */
export class StoreEra {
  /** Era of the last answer; 0 for a store that states none. */
  current = 0
  private isKnown = false

  /**
   * Records the era that an answer states.
   *
   * @param handleChange called if the store has returned from a copy since an earlier answer, with the era before
   */
  observe (era: number, handleChange: (previous: number) => void): void {
    const previous = this.current
    if (this.isKnown && era <= previous) return
    const isChange = this.isKnown
    this.isKnown = true
    this.current = era
    if (isChange) handleChange(previous)
  }
}
