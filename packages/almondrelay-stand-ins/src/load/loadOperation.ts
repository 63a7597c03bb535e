/** One piece of work of a caller, which it wants done once. */
export interface LoadOperation {
  /** Counts from 1; targets count runs by it, over all ids and attempts. */
  number: number
  /** Milliseconds after the start of the load. */
  atMs: number
  caller: string
  key: string
  /** Region that the caller is nearest to. */
  region: string
  service: string
  method: 'GET' | 'POST'
  /** Path and query at the target. */
  path: string
  idempotent: boolean
  body: Uint8Array
  answerBytes: number
  deadlineMs: number
}
