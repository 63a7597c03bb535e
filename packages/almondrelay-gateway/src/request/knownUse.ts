/** One organisation's requests at several hosts together. */
export interface KnownUse {
  /** Let through within the window of its allowance. */
  letThrough: number
  askedPerSecond: number
}
