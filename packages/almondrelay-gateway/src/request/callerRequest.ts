import type { CallerIdentity } from '../version/callerIdentity.js'
import type { Route } from '../version/route.js'

/** A caller's request, read whole; the head as it came. */
export interface CallerRequest {
  /** Names this attempt of the caller; each attempt has its own. */
  id: string
  method: string
  /** Path and query, unchanged. */
  url: string
  /** Names and values in turn, as received. */
  rawHeaders: readonly string[]
  body: Buffer
  /** The object that the request is about; undefined where it names none. */
  affinityKey: string | undefined
  route: Route
  /** Who sent it, by the configuration that chose the route. */
  identity: CallerIdentity
  /** What the caller identified itself by; undefined where it sent nothing usable. Not to be logged. */
  organisationKey: string | undefined
  /** Regions in which it may run; empty where any may. */
  allowedRegions: readonly string[]
  /** Version of the configuration that chose the route. */
  configurationVersion: number
  /** Monotonic milliseconds at which the head had arrived. */
  arrivedAt: number
  /** Monotonic milliseconds at which the caller stops waiting, or the route's timeout, whichever is sooner. */
  deadline: number
}
