import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import type { ServiceImpl } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { PeerService } from 'almondrelay-protocol'
import { openServer } from '../openServer.js'

const MAX_MESSAGE_BYTES = 20_000_000

/** Serves the peer port until the signal aborts. */
export async function listenForPeers (address: string, handlers: Partial<ServiceImpl<typeof PeerService>>, signal: AbortSignal): Promise<Http2Server> {
  const sessions = new Set<ServerHttp2Session>()
  const server = createServer(connectNodeAdapter({
    readMaxBytes: MAX_MESSAGE_BYTES,
    routes: (router) => { router.service(PeerService, handlers) }
  }))
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
