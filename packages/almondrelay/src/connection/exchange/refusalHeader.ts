/** Metadata key of an error whose value is the `PeerRefusal`. */
export const REFUSAL_HEADER = 'almondrelay-refusal'
