import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { RelayedConnection } from '../relayedConnection.js'

/** Two sockets that are connected to one server, which keeps them open whatever they do. */
async function openPair (): Promise<{ server: Server, client: Socket, target: Socket, failures: string[] }> {
  const server = createServer({ allowHalfOpen: true }, (socket) => { socket.on('error', () => {}).resume() }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const failures: string[] = []
  const open = async (): Promise<Socket> => {
    const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true })
    socket.on('error', (error: NodeJS.ErrnoException) => { failures.push(error.code ?? error.message) })
    await once(socket, 'connect')
    return socket
  }
  return { server, client: await open(), target: await open(), failures }
}

// A test passes all its checks and its process never ends, at full processor use. A program behind a relay had ended
// its side of a connection, the relay passed that on, and was closed in the same moment: a reset after an end was
// sent fails with EINVAL, and the socket's handle is lost open.
test('a connection that is reset just after its end was passed on closes', async () => {
  const { server, client, target, failures } = await openPair()
  let isForgotten = false
  const connection = new RelayedConnection(client, target, 0, () => { isForgotten = true })
  const closed = Promise.all([once(client, 'close'), once(target, 'close')])
  client.emit('end')
  connection.reset()
  server.close()
  await Promise.race([closed, once(target, 'error')])
  assert.equal(failures, [])
  await closed
  assert.ok(isForgotten)
})

test.run()
