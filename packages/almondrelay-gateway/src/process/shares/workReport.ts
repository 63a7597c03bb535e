import type { AgedWork } from './agedWork.js'
import type { SnapshotReport } from './snapshotReport.js'

/** The part of a usage report that is about fair shares. Maps are by the hash of the service's name. */
export interface WorkReport {
  /** Work that the sender's callers ask for. */
  own: ReadonlyMap<number, AgedWork> | undefined
  /** Work that the callers of all hosts of the sender's zone ask for. */
  zone: ReadonlyMap<number, AgedWork> | undefined
  shares: SnapshotReport | undefined
}
