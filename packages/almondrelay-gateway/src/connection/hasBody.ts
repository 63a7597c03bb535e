import type { IncomingMessage } from 'node:http'

/** Whether a body follows the head of a request (RFC 9112, section 6). */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}
