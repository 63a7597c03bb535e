import type { OrganisationShare } from './organisationShare.js'
import type { RouteShare } from './routeShare.js'

/** What the hosts of a region need to know to hold the shares of one overloaded service. */
export interface OverloadSnapshot {
  /** Milliseconds of work a second that the region's targets take. */
  capacityMs: number
  /** Organisations of a more urgent rank are served in full, those of a less urgent one only up to the routes' minimum. */
  marginPriority: number
  /** Share of each listed organisation, in milliseconds of work a second. */
  shareMs: number
  /** Organisations that ask for more than their share; those of `marginPriority` that aren't listed are served in full. */
  organisations: ReadonlyMap<number, OrganisationShare>
  routes: ReadonlyMap<number, RouteShare>
}
