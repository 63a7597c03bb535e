/**
 * Connections that wait to be accepted. An overloaded host accepts a few hundred a second, and callers give an attempt
 * up after a third of a second to a second without being read: behind more than these, every connection would be abandoned
 * already when it is accepted, and accepting it would delay those behind it.
 */
export const LISTEN_BACKLOG = 128
