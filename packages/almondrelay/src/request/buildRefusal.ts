import type { Answer } from './answer.js'
import type { Outcome } from './outcome.js'
import type { RefusalReason } from './refusalReason.js'
import { refusalStatus } from './refusalStatus.js'

interface RefusalParts {
  outcome: Outcome
  reason: RefusalReason
  /** Human-readable cause and remedy. */
  message: string
  retryAfterMs?: number
  target?: string
}

/** Builds the answer to a request for which there is no answer of a target, with the reason. */
export function buildRefusal (parts: RefusalParts): Answer {
  const body = JSON.stringify({
    outcome: parts.outcome,
    reason: parts.reason,
    message: parts.message,
    retryAfterMs: parts.retryAfterMs
  })
  return {
    outcome: parts.outcome,
    status: refusalStatus[parts.reason],
    headers: [{ name: 'content-type', value: 'application/json' }],
    body: new TextEncoder().encode(body),
    reason: parts.reason,
    message: parts.message,
    ...(parts.retryAfterMs === undefined ? {} : { retryAfterMs: parts.retryAfterMs }),
    ...(parts.target === undefined ? {} : { target: parts.target })
  }
}
