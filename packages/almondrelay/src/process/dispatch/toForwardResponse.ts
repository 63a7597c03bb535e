import { create } from '@bufbuild/protobuf'
import { ForwardResponseSchema, type ForwardResponse } from 'almondrelay-protocol'
import type { Answer } from '../../request/answer.js'

/** Converts an answer to the response that is sent to a peer. */
export function toForwardResponse (answer: Answer): ForwardResponse {
  return create(ForwardResponseSchema, {
    outcome: answer.outcome,
    status: answer.status,
    headers: answer.headers,
    body: answer.body,
    reason: answer.reason ?? '',
    retryAfterMs: Math.round(answer.retryAfterMs ?? 0),
    target: answer.target ?? ''
  })
}
