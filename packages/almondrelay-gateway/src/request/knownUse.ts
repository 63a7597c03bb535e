/** One organisation's requests at several hosts together. */
export interface KnownUse {
  /** Let through within the window of its allowance. */
  letThrough: number
  /** Of those, the ones that leave the window within the next second, and make room. */
  leavingPerSecond: number
  askedPerSecond: number
}
