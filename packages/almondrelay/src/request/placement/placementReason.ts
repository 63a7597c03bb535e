/** Why a zone stands where it does in the order; for the log line. */
const PlacementReason = {
  /** The host's own zone, or one that the policy names. */
  policy: 'policy',
  ownZone: 'own-zone',
  ownRegion: 'own-region',
  /** Another region, because the policy's regions have no free slots. */
  spill: 'spill'
} as const

type PlacementReason = (typeof PlacementReason)[keyof typeof PlacementReason]

export { PlacementReason }
