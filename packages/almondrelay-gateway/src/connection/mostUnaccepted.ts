/**
 * Connections that wait to be accepted. An overloaded host accepts a few hundred a second, and callers give an attempt
 * up after a third of a second to a second without being read: behind more than these, every connection is a dead one
 * when its turn comes, and accepting it keeps those behind it waiting.
 */
export const MOST_UNACCEPTED = 128
