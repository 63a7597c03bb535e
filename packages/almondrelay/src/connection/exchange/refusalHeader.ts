/** Metadata of an error that names the `PeerRefusal`. */
export const REFUSAL_HEADER = 'almondrelay-refusal'
