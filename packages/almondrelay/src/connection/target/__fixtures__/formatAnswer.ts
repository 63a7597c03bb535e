import type { ScriptedRequest } from './scriptedRequest.js'

interface AnswerParts {
  status?: number
  /** Header lines besides the length and the echoed id. */
  lines?: string[]
  /** Values of the echoed id; the request's own where absent. */
  sendIds?: string[]
  /** Whether the answer states no length and so ends with its connection. */
  hasNoLength?: boolean
}

const SEND_ID = 'almondrelay-send-id'

/** An answer whose body names the path of the request that it belongs to. */
export function formatAnswer (request: ScriptedRequest, { status = 200, lines = [], sendIds, hasNoLength = false }: AnswerParts = {}): string {
  const body = `answer to ${request.path}`
  return [
    `HTTP/1.1 ${status} Status`,
    ...(hasNoLength ? [] : [`content-length: ${body.length}`]),
    ...(sendIds ?? request.headers.get(SEND_ID) ?? []).map((id) => `${SEND_ID}: ${id}`),
    ...lines,
    '',
    body
  ].join('\r\n')
}
