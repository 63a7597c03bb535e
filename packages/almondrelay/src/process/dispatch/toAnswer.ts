import type { ForwardResponse } from 'almondrelay-protocol'
import type { Answer } from '../../request/answer.js'
import type { Outcome } from '../../request/outcome.js'
import type { RefusalReason } from '../../request/refusalReason.js'

/** Converts a peer's response to an answer. */
export function toAnswer (response: ForwardResponse): Answer {
  return {
    outcome: response.outcome as Outcome,
    status: response.status,
    headers: response.headers.map(({ name, value }) => ({ name, value })),
    body: response.body,
    ...(response.reason === '' ? {} : { reason: response.reason as RefusalReason }),
    ...(response.retryAfterMs === 0 ? {} : { retryAfterMs: response.retryAfterMs }),
    ...(response.target === '' ? {} : { target: response.target })
  }
}
