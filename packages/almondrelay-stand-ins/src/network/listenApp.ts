import { createAdaptorServer } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import type { Env, Hono } from 'hono'
import { once } from 'node:events'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/**
 * Serves an app on `ip:port` (port 0 picks a free one) until the signal aborts, and
 * returns the address that it got.
 */
export async function listenApp<Bindings extends Env & { Bindings: HttpBindings }> (app: Hono<Bindings>, address: string, signal: AbortSignal): Promise<string> {
  const server = createAdaptorServer({ fetch: app.fetch as Parameters<typeof createAdaptorServer>[0]['fetch'] }) as Server
  const colon = address.lastIndexOf(':')
  server.listen(Number(address.slice(colon + 1)), address.slice(0, colon))
  await once(server, 'listening')
  signal.addEventListener('abort', () => {
    server.close()
    server.closeAllConnections()
  }, { once: true })
  const bound = server.address() as AddressInfo
  return `${bound.address}:${bound.port}`
}
