import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import type { ServiceImpl } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { PeerService } from 'almondrelay-protocol'
import type { ClientGuardParts } from '../clients/clientGuardParts.js'
import { openServer } from '../openServer.js'
import { SessionGuard } from './sessionGuard.js'

const MAX_MESSAGE_BYTES = 20_000_000
/** Calls of one host that run at the same time; it keeps further ones back. */
const MAX_STREAMS = 256

/** Serves the peer port until the signal aborts. */
export async function listenForPeers (address: string, handlers: Partial<ServiceImpl<typeof PeerService>>, guard: ClientGuardParts, signal: AbortSignal): Promise<Http2Server> {
  const sessions = new Set<ServerHttp2Session>()
  const server = createServer({ settings: { maxConcurrentStreams: MAX_STREAMS } }, connectNodeAdapter({
    readMaxBytes: MAX_MESSAGE_BYTES,
    routes: (router) => { router.service(PeerService, handlers) }
  }))
  void new SessionGuard(server, guard)
  server.on('session', (session) => {
    sessions.add(session)
    session.on('close', () => sessions.delete(session))
    session.on('error', () => { session.destroy() })
  })
  signal.addEventListener('abort', () => {
    server.close()
    for (const session of sessions) session.destroy()
  }, { once: true })
  await openServer(server, address)
  return server
}
