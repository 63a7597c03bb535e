import type { Resource } from '../../../version/resources/resource.js'

/** Figures that other parts of the daemon count; undefined where they are not known. */
export interface StatusHooks {
  /** Requests that still run on what a Drain takes work away from. */
  countWorkLeft: (drain: Extract<Resource, { kind: 'Drain' }>) => number | undefined
  /** Requests in flight under the limit of a Region, Link or ShiftCap. */
  countCarried: (resource: Extract<Resource, { kind: 'Region' | 'Link' | 'ShiftCap' }>) => number | undefined
}
