import type { Resource } from '../../../version/resources/resource.js'

/** Counts maintained by other components of the daemon; undefined where they are not known. */
export interface StatusHooks {
  /** Requests that still run on what a Drain drains. */
  countWorkLeft: (drain: Extract<Resource, { kind: 'Drain' }>) => number | undefined
  /** Requests in flight under the limit of a Region, Link or ShiftCap. */
  countCarried: (resource: Extract<Resource, { kind: 'Region' | 'Link' | 'ShiftCap' }>) => number | undefined
}
