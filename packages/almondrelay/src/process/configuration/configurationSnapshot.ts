import type { Resource } from '../../version/resources/resource.js'
import type { WriteRecord } from './writeRecord.js'

/** Everything that one revision holds, so that a host can begin without the log before it. */
export interface ConfigurationSnapshot {
  revision: number
  resources: Resource[]
  /** The latest accepted writes, so that a repeat of one is known for what it is. */
  writes: WriteRecord[]
}
