/** A call to the operator port of a host. */
export interface HttpCall {
  method: 'GET' | 'PUT' | 'DELETE'
  path: string
  headers?: Record<string, string>
  body?: unknown
  /** Maximum time to wait for the answer in milliseconds; after it the answer counts as lost. */
  timeoutMs?: number
}
