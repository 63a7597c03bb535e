import type { Resource } from '../../version/resources/resource.js'
import type { ResourceKind } from '../../version/resources/resourceKind.js'

/** An operator's request for a change, already checked against the schema. */
export type Write = {
  /** UUID by which the writer can query the outcome later, and which makes a repeat idempotent. */
  writeId: string
  author: string
  /** The write applies only if the resource is at this revision; 0 means that it is absent. Any revision if undefined. */
  expectedRevision?: number
} & (
  | { action: 'put', resource: Resource }
  | { action: 'delete', kind: ResourceKind, name: string }
)
