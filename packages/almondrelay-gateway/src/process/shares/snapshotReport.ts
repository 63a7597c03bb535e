import type { AgedSnapshot } from './agedSnapshot.js'

/** Overloaded services of a region, from an aggregator. */
export interface SnapshotReport {
  /** Clock that the region's hosts share, in milliseconds. */
  clockMs: number
  /** By the hash of the service's name; services that aren't contained aren't overloaded. */
  snapshots: ReadonlyMap<number, AgedSnapshot>
}
