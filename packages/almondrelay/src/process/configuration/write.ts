import type { Resource } from '../../version/resources/resource.js'
import type { ResourceKind } from '../../version/resources/resourceKind.js'

/** What an operator asks to have changed, its form already checked. */
export type Write = {
  /** UUID by which the writer can ask later, and which makes a repeat harmless. */
  writeId: string
  author: string
  /** Only where the resource is at this revision; 0 stands for an absent one. Any where undefined. */
  expectedRevision?: number
} & (
  | { action: 'put', resource: Resource }
  | { action: 'delete', kind: ResourceKind, name: string }
)
