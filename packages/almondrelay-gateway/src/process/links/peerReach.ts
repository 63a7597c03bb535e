/** What the other hosts that were asked say of a target. */
const PeerReach = {
  /** At least one of them reaches it. */
  reached: 'reached',
  /** Some answered, and none reaches it. */
  unreached: 'unreached',
  /** None answered. */
  none: 'none'
} as const

type PeerReach = (typeof PeerReach)[keyof typeof PeerReach]

export { PeerReach }
