/**
 * Milliseconds of a time slot for which draws stay the same. Immediate repeats of a caller fall into one slot, and a caller with two
 * seconds left can be told any of six.
 */
export const SHARE_SLOT_MS = 100
