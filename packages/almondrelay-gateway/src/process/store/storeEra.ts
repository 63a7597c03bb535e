/**
 * Era of the store: counts how often it has returned from a copy and so lost changes that it had acknowledged. Leases and revisions of
 * an earlier era mean nothing in a later one, as the store may give the same numbers out again.
 */
export class StoreEra {
  /** Era of the last answer; 0 for a store that states none. */
  current = 0
  /** Called if the store has returned from a copy since an earlier answer. */
  handleReturn: () => void = () => undefined
  /** An answer has stated the era. */
  isKnown = false

  /** Records the era that an answer states. Returns whether the store has returned from a copy since an earlier answer. */
  observe (era: number): boolean {
    if (this.isKnown && era <= this.current) return false
    const isReturn = this.isKnown
    this.isKnown = true
    this.current = era
    if (isReturn) this.handleReturn()
    return isReturn
  }
}
