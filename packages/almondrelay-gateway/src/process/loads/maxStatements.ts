/** Maximum number of statements in one report: one of this size fits into a datagram that isn't fragmented on its way. */
export const MAX_STATEMENTS = 64
