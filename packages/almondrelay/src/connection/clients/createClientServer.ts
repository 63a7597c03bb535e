import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http'
import { ClientGuard } from './clientGuard.js'
import type { ClientGuardParts } from './clientGuardParts.js'
import { handleInTurn } from './handleInTurn.js'

/** Milliseconds within which a head must arrive. */
const HEADERS_TIMEOUT_MS = 10_000
/** Milliseconds within which a whole request must arrive. */
const REQUEST_TIMEOUT_MS = 30_000

/**
 * Creates an HTTP server whose clients can't take more than the limits of its port. Each HTTP/1.1 port of this project is served by one.
 *
 * @param options options of Node's server that replace the defaults
 * @param handleRequest handles the requests of a connection one after the other; without it the code that calls this function listens to the
 *   server's requests, and gets those of a connection at once
 */
export function createClientServer (parts: ClientGuardParts, options: ServerOptions, handleRequest?: RequestListener): Server {
  // Requests without a Host header are counted like all others, and rejected by the handler where it needs one.
  const server = createServer({ headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, requireHostHeader: false, ...options })
  if (handleRequest !== undefined) server.on('request', handleInTurn(handleRequest))
  void new ClientGuard(server, parts)
  return server
}
