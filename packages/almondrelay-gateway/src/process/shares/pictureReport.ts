import type { AgedPicture } from './agedPicture.js'

/** Overloaded services of a region, from an aggregator. */
export interface PictureReport {
  /** Clock that the region's hosts share, in milliseconds. */
  clockMs: number
  /** By the hash of the service's name; services that aren't contained aren't overloaded. */
  pictures: ReadonlyMap<number, AgedPicture>
}
