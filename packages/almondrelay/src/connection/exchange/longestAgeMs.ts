/**
 * Maximum age in a summary, about 12 days. The protocol has no field that says that a neighbour gets no reports from the
 * host. A value above this maximum says so; the age is then the value minus this maximum minus 1.
 */
export const MAX_SUMMARY_AGE_MS = 2 ** 30 - 1
