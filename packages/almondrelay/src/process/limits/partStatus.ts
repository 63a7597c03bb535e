/** Whether this host holds a part just now; kept up to date by PartClaims. */
export interface PartStatus {
  readonly held: boolean
  /** Held, and usable for new work. */
  readonly usable: boolean
}
