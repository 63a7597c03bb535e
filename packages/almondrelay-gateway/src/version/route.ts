import type { Destination } from './destination.js'

/** Where requests for a host name and path go, and how they may be handled. */
export interface Route {
  name: string
  /** Host name that callers send, without a port. */
  hostName: string
  /** Begins and ends with a slash; the longest prefix that matches a path wins. */
  pathPrefix: string
  /** Whether one request may run more than once. */
  idempotent: boolean
  /** Milliseconds after its arrival at which a request must have its final answer. */
  timeoutMs: number
  /** Latency target: milliseconds within which an answer has its full value for the caller. */
  targetLatencyMs: number
  /** Whether the route's requests need no key of an organisation. */
  isOpen: boolean
  /** Rank under load; 0 is served first. */
  priority: number
  /** Whether targets work faster on an object that they handled recently. */
  sessionAffinity: boolean
  /** Maximum number of targets to which one request may be sent. */
  maxAttempts: number
  /** Regions in which the route's requests may run; empty where all regions are allowed. */
  allowedRegions: readonly string[]
  destinations: readonly Destination[]
}
