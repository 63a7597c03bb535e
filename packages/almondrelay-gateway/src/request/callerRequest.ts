import type { Route } from '../version/route.js'
import type { TargetRequest } from './targetRequest.js'

/** A caller's complete request; its head is kept as received. */
export interface CallerRequest extends TargetRequest {
  /** Key of the object that the request is about; undefined where it names none. */
  affinityKey: string | undefined
  route: Route
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
