import { createAdaptorServer } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import type { Env, Hono } from 'hono'
import { once } from 'node:events'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

type Fetch = Parameters<typeof createAdaptorServer>[0]['fetch']

/** Longer than any pause of the tests, so that idle connections end only where a test ends them. */
const KEEP_ALIVE_MS = 120_000

/** Serves an app on an address that can be closed and opened again. */
export class AppListener<AppEnv extends Env & { Bindings: HttpBindings }> {
  private server: Server | undefined

  constructor (private readonly app: Hono<AppEnv>) {}

  /** Listens on `ip:port`, where port 0 picks a free one, and returns the address that it got. */
  async open (address: string): Promise<string> {
    const server = createAdaptorServer({ fetch: this.app.fetch as unknown as Fetch }) as Server
    server.keepAliveTimeout = KEEP_ALIVE_MS
    server.requestTimeout = 0
    const colon = address.lastIndexOf(':')
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon))
    await once(server, 'listening')
    this.server = server
    const bound = server.address() as AddressInfo
    return `${bound.address}:${bound.port}`
  }

  /** Refuses new connections and ends the open ones. */
  close (): void {
    this.server?.close()
    this.server?.closeAllConnections()
    this.server = undefined
  }
}
