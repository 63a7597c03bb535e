/**
 * Longest age that a summary states, about 12 days. The protocol has no field for a neighbour's
 * suspicion, so an age above this says that a neighbour finds the host silent, and the age is what
 * is left after this much and one.
 */
export const LONGEST_AGE_MS = 2 ** 30 - 1
