import type { HttpBindings } from '@hono/node-server'
import type { Env, Hono } from 'hono'
import { AppListener } from './appListener.js'

/**
 * Serves an app on `ip:port` (port 0 picks a free one) until the signal aborts, and
 * returns the address that it got.
 */
export async function listenApp<AppEnv extends Env & { Bindings: HttpBindings }> (app: Hono<AppEnv>, address: string, signal: AbortSignal): Promise<string> {
  const listener = new AppListener(app)
  const bound = await listener.open(address)
  signal.addEventListener('abort', () => { listener.close() }, { once: true })
  return bound
}
