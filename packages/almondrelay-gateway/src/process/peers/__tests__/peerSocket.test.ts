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

// Guards against one entry of a host with an impossible port that ends the process, or keeps reports from all hosts after it.
test('a host to which nothing can be sent does not keep a datagram from the others', async () => {
  const errors: Error[] = []
  const receiver = createSocket('udp4')
  await new Promise<void>((resolve) => { receiver.bind(0, '127.0.0.1', resolve) })
  const received = new Promise<string>((resolve) => { receiver.on('message', (bytes) => { resolve(bytes.toString()) }) })
  const socket = new PeerSocket((error) => { errors.push(error) })
  const stop = new AbortController()
  await socket.listen('127.0.0.1', 0, () => undefined, stop.signal)
  const ports = [70_000, -1, 1.5, 0, Infinity, receiver.address().port]
  const timer = setInterval(() => { for (const port of ports) socket.send(Buffer.from('report'), '127.0.0.1', port) }, 20)
  assert.is(await received, 'report')
  clearInterval(timer)
  stop.abort()
  receiver.close()
  assert.ok(errors.length >= ports.length - 1)
})

test.run()
