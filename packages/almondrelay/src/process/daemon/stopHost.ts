import type { Server } from 'node:http'
import type { Clock } from '../platform/clock.js'
import type { Host } from './host.js'

const CHECK_MS = 20

/**
 * A planned stop. Look-ups stop naming this host at once; it serves on until the answers that callers
 * keep have run out and everything in flight is finished, or the limit has passed. Returns the
 * number of requests that were cut off, each named in the log.
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
  while (isBusy() && clock.getNow() < limitAt) await clock.sleep(CHECK_MS, never)
  const unfinished = handler.countInFlight() + runner.countRunning()
  if (unfinished > 0) log.warn({ unfinished, ids: host.journal.listRunning() }, 'planned stop reached its limit: these requests are cut off')
  for (const server of servers) await closeServer(server, clock, unfinished > 0)
  return unfinished
}

/** Connections that callers keep open are closed as soon as they are idle. */
async function closeServer (server: Server, clock: Clock, force: boolean): Promise<void> {
  const closed = new AbortController()
  server.close(() => { closed.abort() })
  if (force) server.closeAllConnections()
  while (!closed.signal.aborted) {
    server.closeIdleConnections()
    await clock.sleep(CHECK_MS, closed.signal)
  }
}
