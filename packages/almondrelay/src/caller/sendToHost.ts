import { errors, request, type Dispatcher } from 'undici'
import type { Answer } from '../request/answer.js'
import { HeaderName } from '../request/contract/headerName.js'
import { isFinalStatus } from '../request/isFinalStatus.js'
import { Outcome } from '../request/outcome.js'
import type { RefusalReason } from '../request/refusalReason.js'
import type { CallerCall } from './callerCall.js'
import type { CallerHost } from './callerHost.js'

interface SendOptions {
  call: CallerCall
  caller: string
  id: string
  attempt: number
  host: CallerHost
  home: CallerHost
  /** Milliseconds until the deadline. */
  remainingMs: number
  dispatcher: Dispatcher
  signal: AbortSignal
}

type SendResult =
  | { kind: 'answered', answer: Answer }
  /** No byte was sent to the host. */
  | { kind: 'not-sent' }
  | { kind: 'lost' }

const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends one request to an entry host and receives the answer. */
export async function sendToHost (options: SendOptions): Promise<SendResult> {
  const { call, host, dispatcher, signal } = options
  try {
    const response = await request(`http://${host.address}/s/${call.service}${call.path}`, {
      method: call.method as 'GET',
      headers: buildHeaders(options),
      body: call.body === undefined || call.body.byteLength === 0 ? null : call.body,
      dispatcher,
      signal
    })
    const body = new Uint8Array(await response.body.arrayBuffer())
    if (!isFinalStatus(response.statusCode)) return { kind: 'lost' }
    return { kind: 'answered', answer: readAnswer(response.statusCode, response.headers, body) }
  } catch (error) {
    const isConnectError = error instanceof errors.ConnectTimeoutError || NOT_SENT_CODES.has((error as NodeJS.ErrnoException).code ?? '')
    return { kind: isConnectError ? 'not-sent' : 'lost' }
  }
}

function buildHeaders ({ call, caller, id, attempt, home, remainingMs }: SendOptions): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const header of call.headers ?? []) headers[header.name] = header.value
  headers[HeaderName.id] = id
  headers[HeaderName.caller] = caller
  headers[HeaderName.attempt] = String(attempt)
  headers[HeaderName.deadline] = String(Math.max(1, Math.floor(remainingMs)))
  headers[HeaderName.home] = `${home.name};${home.incarnation}`
  if (call.key !== undefined) headers[HeaderName.key] = call.key
  return headers
}

function readAnswer (status: number, headers: Record<string, string | string[] | undefined>, body: Uint8Array): Answer {
  const retryAfterMs = Number(headers[HeaderName.retryAfterMs])
  const reason = headers[HeaderName.reason]
  const target = headers[HeaderName.target]
  return {
    // An answer without this header was not produced by Almondrelay, so the outcome of the request is unknown.
    outcome: (headers[HeaderName.outcome] ?? Outcome.unknown) as Outcome,
    status,
    headers: Object.entries(headers).flatMap(([name, value]) => [value ?? []].flat().map((each) => ({ name, value: each }))),
    body,
    ...(typeof reason === 'string' ? { reason: reason as RefusalReason } : {}),
    ...(typeof target === 'string' ? { target } : {}),
    ...(Number.isFinite(retryAfterMs) ? { retryAfterMs } : {})
  }
}
