/** Reason for a zone's position in the order; stated in log lines. */
const PlacementReason = {
  /** A zone in a region to which the policy gives a weight. */
  policy: 'policy',
  ownZone: 'own-zone',
  ownRegion: 'own-region',
  /** A zone in a region outside the policy, used when the policy's regions have no free slots. */
  spill: 'spill'
} as const

type PlacementReason = (typeof PlacementReason)[keyof typeof PlacementReason]

export { PlacementReason }
