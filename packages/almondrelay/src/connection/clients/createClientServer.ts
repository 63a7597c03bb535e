import { createServer, type Server, type ServerOptions } from 'node:http'
import { ClientGuard } from './clientGuard.js'
import type { ClientGuardParts } from './clientGuardParts.js'

/** Milliseconds within which a head must arrive. */
const HEADERS_TIMEOUT_MS = 10_000
/** Milliseconds within which a whole request must arrive. */
const REQUEST_TIMEOUT_MS = 30_000

/**
 * Creates an HTTP server whose clients can't take more than the limits of its port.
 *
 * @param options options of Node's server that replace the defaults
 */
export function createClientServer (parts: ClientGuardParts, options: ServerOptions): Server {
  // Requests without a Host header are counted like all others, and rejected by the handler where it needs one.
  const server = createServer({ headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, requireHostHeader: false, ...options })
  void new ClientGuard(server, parts)
  return server
}
