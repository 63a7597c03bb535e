import type { CallerIdentity } from '../version/callerIdentity.js'
import type { Route } from '../version/route.js'

/** A caller's complete request; its head is kept as received. */
export interface CallerRequest {
  /** Identifies this attempt of the caller; each attempt has its own id. */
  id: string
  method: string
  /** Path and query, unchanged. */
  url: string
  /** Header names and values, alternating, as received. */
  rawHeaders: readonly string[]
  body: Buffer
  /** Key of the object that the request is about; undefined where it names none. */
  affinityKey: string | undefined
  route: Route
  /** The sender, as identified under the configuration version that chose the route. */
  identity: CallerIdentity
  /** Key by which the caller identified itself; undefined where it sent nothing usable. Must not be logged. */
  organisationKey: string | undefined
  /** Regions in which the request may run; empty where all regions are allowed. */
  allowedRegions: readonly string[]
  /** Version of the configuration that chose the route. */
  configurationVersion: number
  /** Monotonic milliseconds at which the head had arrived. */
  arrivedAt: number
  /** Monotonic milliseconds at which the caller stops waiting or the route's timeout ends, whichever is sooner. */
  deadline: number
}
