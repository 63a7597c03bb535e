import { createServer, type Http2Server } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Code, ConnectError } from '@connectrpc/connect'
import { GuardedSessionManager } from '../guardedSessionManager.js'

async function startServer (): Promise<{ server: Http2Server, url: string }> {
  const server = createServer((request, response) => { response.end('x') })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` }
}

// On busy hosts a ping to the peer times out and destroys the session, and in the same turn of the event loop
// the heartbeat that waited on it times out too and closes the connection. The session's error event then
// had no listener, and the whole process ended in the middle of its callers' requests.
test('a session that is destroyed and closed in one turn does not end the process', async () => {
  const { server, url } = await startServer()
  const errors: unknown[] = []
  const collectError = (error: unknown): void => { errors.push(error) }
  process.on('uncaughtException', collectError)
  const sessions = new GuardedSessionManager(url, {})
  const stream = await sessions.request('GET', '/', {}, {})
  stream.on('error', () => undefined)
  const session = stream.session
  session?.destroy(new ConnectError('PING timed out', Code.Unavailable))
  sessions.abort()
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  process.off('uncaughtException', collectError)
  server.close()
  assert.equal(errors, [])
})

test.run()
