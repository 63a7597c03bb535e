import { request } from 'undici'
import type { Dispatcher } from 'undici'
import { isFinalStatus } from 'almondrelay'

interface JsonCall {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** `ip:port`. */
  address: string
  path: string
  body?: unknown
  headers?: Record<string, string>
  signal?: AbortSignal
  dispatcher?: Dispatcher
}

interface JsonReply {
  status: number
  headers: Record<string, string | string[] | undefined>
  /** Undefined where the answer has no body. */
  body: unknown
}

/** One call with JSON both ways; rejects where no answer came. */
export async function sendJson ({ method, address, path, body, headers = {}, signal, dispatcher }: JsonCall): Promise<JsonReply> {
  const answer = await request(`http://${address}${path}`, {
    method,
    headers: { ...headers, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    ...(signal === undefined ? {} : { signal }),
    ...(dispatcher === undefined ? { reset: true } : { dispatcher })
  })
  const text = await answer.body.text()
  if (!isFinalStatus(answer.statusCode)) throw new Error(`the answer has the status ${answer.statusCode}, which HTTP does not know`)
  return { status: answer.statusCode, headers: answer.headers, body: text === '' ? undefined : JSON.parse(text) }
}
