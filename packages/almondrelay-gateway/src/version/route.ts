import type { Destination } from './destination.js'

/** Where requests of a host name and path go, and what may be done with them. */
export interface Route {
  name: string
  /** Host name that callers send, without a port. */
  hostName: string
  /** Begins and ends with a slash; the longest one that begins a path wins. */
  pathPrefix: string
  /** Whether one request may run more than once. */
  idempotent: boolean
  /** Milliseconds after its arrival at which a request must have its final answer. */
  timeoutMs: number
  /** Milliseconds within which an answer has its full value for the caller. */
  targetLatencyMs: number
  /** Whether its requests need no key of an organisation. */
  isOpen: boolean
  /** Rank under load; 0 is served first. */
  priority: number
  /** Whether targets work faster on an object that they handled lately. */
  sessionAffinity: boolean
  /** Targets to which one request may be sent at most. */
  maxAttempts: number
  /** Regions in which the route's requests may run; empty where any may. */
  allowedRegions: readonly string[]
  destinations: readonly Destination[]
}
