/** Work on one route's requests, as needed to admit the more urgent routes first. */
export interface RouteShare {
  priority: number
  /** Part of all work asked for that is on this route. */
  mix: number
  /** Part of the requests that is admitted in any case, so that the route isn't starved. */
  floorFraction: number
}
