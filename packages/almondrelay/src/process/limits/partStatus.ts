/** Whether this host currently holds a part; updated by PartClaims. */
export interface PartStatus {
  readonly held: boolean
  /** Held, and usable for new work. */
  readonly usable: boolean
}
