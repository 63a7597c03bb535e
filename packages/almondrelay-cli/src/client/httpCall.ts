/** A call to an operator port. */
export interface HttpCall {
  method: 'GET' | 'PUT' | 'DELETE'
  path: string
  headers?: Record<string, string>
  body?: unknown
  /** Longest time for the answer in milliseconds, beyond which it counts as lost. */
  timeoutMs?: number
}
