import type { CallerIdentity } from '../version/callerIdentity.js'

/** The fields of a request that reach a target, and who sent it. */
export interface TargetRequest {
  /** Identifies this attempt of the caller; each attempt has its own id. */
  id: string
  method: string
  /** Path and query, unchanged. */
  url: string
  /** Header names and values, alternating, as received. */
  rawHeaders: readonly string[]
  body: Buffer
  /** The sender, as identified under the configuration version that chose the route. */
  identity: CallerIdentity
}
