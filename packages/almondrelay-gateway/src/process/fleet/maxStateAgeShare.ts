/**
 * Maximum age of a state that a host relies on, as a share of the time within which a change must be known; the rest is left for a call to
 * the store. If this age were shorter than the wait of a watch and the report interval together, all hosts of a region would call the store
 * constantly.
 */
export const MAX_STATE_AGE_SHARE = 0.75
