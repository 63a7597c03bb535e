import type { Server } from 'node:http'
import { getRequestListener } from '@hono/node-server'
import type { Hono } from 'hono'
import type { ClientGuardParts } from './clients/clientGuardParts.js'
import { createClientServer } from './clients/createClientServer.js'
import { openServer } from './openServer.js'

/** Time in which a caller must send its whole request; an incomplete request is then aborted. */
const REQUEST_TIMEOUT_MS = 15_000
const HEADERS_TIMEOUT_MS = 5_000
const TIMEOUT_CHECK_INTERVAL_MS = 1_000
const KEEP_ALIVE_TIMEOUT_MS = 20_000

/** Serves an HTTP/1.1 port. The code that calls this function closes the returned server. */
export async function listenForHttp (address: string, app: Hono, guard: ClientGuardParts): Promise<Server> {
  const listener = getRequestListener(app.fetch)
  const server = createClientServer(guard, {
    requestTimeout: REQUEST_TIMEOUT_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS
  }, (request, response) => { void listener(request, response) })
  await openServer(server, address)
  return server
}
