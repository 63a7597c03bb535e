/** Work that the callers of one organisation, or of one route, ask for. All figures are milliseconds of targets' work a second. */
export interface ClassWork {
  /** Rank of the organisation or route; 0 is served first. */
  priority: number
  askedMs: number
  /** Work on the requests that were not refused for being beyond a share. */
  admittedMs: number
}
