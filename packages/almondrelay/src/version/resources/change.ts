import type { Resource } from './resource.js'
import type { ResourceKind } from './resourceKind.js'

/** One entry of the change log: the typed change that a revision made. */
export type Change = {
  revision: number
  /** UUID of the write, by which a writer finds out whether its change was made. */
  writeId: string
  /** Who wrote it, as the operator's client said. */
  author: string
  /** Wall time in milliseconds; only a label. */
  writtenAt: number
} & (
  | { action: 'put', resource: Resource }
  | { action: 'delete', kind: ResourceKind, name: string }
)
