import type { Resource } from '../../version/resources/resource.js'
import type { WriteRecord } from './writeRecord.js'

/** All contents of one revision, so that a host can start from it without the earlier change log. */
export interface ConfigurationSnapshot {
  revision: number
  resources: Resource[]
  /** The latest accepted writes, so that a repeat of one is recognised. */
  writes: WriteRecord[]
}
