import type { Server } from 'node:http'
import type { Clock } from '../platform/clock.js'
import type { Host } from './host.js'

const CHECK_INTERVAL_MS = 20

/**
 * Performs a planned stop. Look-ups stop returning this host immediately; the host continues to serve until the look-up
 * answers cached by callers have expired and all requests in flight have finished, or the time limit has passed.
 * Returns the number of requests that were cut off; the log names each of them.
 */
export async function stopHost (host: Host, servers: Server[]): Promise<number> {
  const { clock, settings, log, handler, runner } = host
  const never = new AbortController().signal
  const startedAt = clock.getNow()
  const limitAt = startedAt + settings.shutdown.limitMs
  const cachedUntil = startedAt + host.lookups.maxTtlMs
  host.membership.updateSelf({ isLeaving: true })
  log.info({ inFlight: handler.countInFlight(), cachedMs: host.lookups.maxTtlMs }, 'planned stop begins')
  const isBusy = (): boolean => clock.getNow() < cachedUntil || handler.countInFlight() > 0 || runner.countRunning() > 0
  while (isBusy() && clock.getNow() < limitAt) await clock.sleep(CHECK_INTERVAL_MS, never)
  const unfinished = handler.countInFlight() + runner.countRunning()
  if (unfinished > 0) log.warn({ unfinished, ids: host.journal.listRunning() }, 'planned stop reached its limit: these requests are cut off')
  for (const server of servers) await closeServer(server, clock, unfinished > 0)
  return unfinished
}

/** Closes the server, and keep-alive connections as soon as they are idle. */
async function closeServer (server: Server, clock: Clock, force: boolean): Promise<void> {
  const closed = new AbortController()
  server.close(() => { closed.abort() })
  if (force) server.closeAllConnections()
  while (!closed.signal.aborted) {
    server.closeIdleConnections()
    await clock.sleep(CHECK_INTERVAL_MS, closed.signal)
  }
}
