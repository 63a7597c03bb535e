import type { Answer } from '../../request/answer.js'
import { HeaderName } from '../../request/contract/headerName.js'

/** Statuses whose answers have no body (RFC 9110, sections 15.3.5 and 15.4.5). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 205, 304])
/** Internal status for a caller that closed its connection. HTTP defines no such status, so 503 is sent instead, which nobody reads. */
const CLIENT_CLOSED_STATUS = 499

/** Converts an answer to the HTTP response that the caller receives. */
export function toHttpResponse (answer: Answer, host: string): Response {
  const headers = new Headers()
  for (const { name, value } of answer.headers) headers.append(name, value)
  headers.set(HeaderName.outcome, answer.outcome)
  headers.set(HeaderName.host, host)
  if (answer.reason !== undefined) headers.set(HeaderName.reason, answer.reason)
  if (answer.target !== undefined) headers.set(HeaderName.target, answer.target)
  if (answer.retryAfterMs !== undefined) {
    headers.set(HeaderName.retryAfter, String(Math.max(1, Math.ceil(answer.retryAfterMs / 1_000))))
    headers.set(HeaderName.retryAfterMs, String(Math.round(answer.retryAfterMs)))
  }
  const status = answer.status === CLIENT_CLOSED_STATUS ? 503 : answer.status
  return new Response(BODILESS_STATUSES.has(status) ? null : answer.body as Uint8Array<ArrayBuffer>, { status, headers })
}
