import { createSocket } from 'node:dgram'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PeerSocket } from '../peerSocket.js'

const test = suite('PeerSocket')

// Guards against a datagram that crashes every host that reads it, again after each restart.
test('a datagram whose handler throws does not prevent the next one from being handled', async () => {
  const errors: Error[] = []
  const stop = new AbortController()
  const probe = createSocket('udp4')
  await new Promise<void>((resolve) => { probe.bind(0, '127.0.0.1', resolve) })
  const { port } = probe.address()
  await new Promise<void>((resolve) => { probe.close(resolve) })
  const socket = new PeerSocket((error) => { errors.push(error) })
  const received = new Promise<string>((resolve, reject) => {
    socket.listen('127.0.0.1', port, (bytes) => {
      if (bytes.length === 1) throw new Error('cannot be handled')
      resolve(Buffer.from(bytes).toString())
    }, stop.signal).catch(reject)
  })
  const sender = createSocket('udp4')
  const timer = setInterval(() => {
    sender.send(Buffer.from('x'), port, '127.0.0.1')
    sender.send(Buffer.from('next'), port, '127.0.0.1')
  }, 20)
  assert.is(await received, 'next')
  clearInterval(timer)
  sender.close()
  stop.abort()
  assert.is(errors[0]?.message, 'cannot be handled')
})

test.run()
