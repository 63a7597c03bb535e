/** A lease, which belongs to the era in which it was granted: in a later one its id may have been given to another holder. */
export interface StoreLease {
  id: number
  era: number
}
