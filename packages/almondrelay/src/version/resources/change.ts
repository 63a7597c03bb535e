import type { Resource } from './resource.js'
import type { ResourceKind } from './resourceKind.js'

/** One entry of the change log: the typed change that a revision made. */
export type Change = {
  revision: number
  /** UUID of the write, by which the writer can check whether its change was made. */
  writeId: string
  /** Author as stated by the operator's client. */
  author: string
  /** Wall-clock time in milliseconds; for information only. */
  writtenAt: number
} & (
  | { action: 'put', resource: Resource }
  | { action: 'delete', kind: ResourceKind, name: string }
)
