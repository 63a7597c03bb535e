import { createServer } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { MessageMemory } from '../messageMemory.js'
import { holdUntilRead } from '../holdUntilRead.js'

const test = suite('holdUntilRead')
const BODY = Buffer.alloc(8_000_000)

// Guards against memory that is held for ever for a caller, or for another host, that stops reading its answer.
test('an answer that nobody reads is counted until the timeout', async () => {
  const memory = new MessageMemory(Infinity)
  const closed = new Promise<void>((resolve) => {
    const server = createServer((_, response) => {
      response.once('close', () => {
        server.close()
        resolve()
      })
      holdUntilRead(memory, response, BODY.length, 20)
      assert.is(memory.heldBytes, BODY.length)
      response.end(BODY)
    })
    server.listen(0, '127.0.0.1', () => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1', () => { socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n') })
      socket.on('error', () => { socket.destroy() })
      socket.pause()
      void closed.then(() => { socket.destroy() })
    })
  })
  await closed
  assert.is(memory.heldBytes, 0)
})

// Guards against answers that count as held for ever, because their receiver left while they waited behind another one.
test('an answer that waits behind another one is released when its receiver leaves', async () => {
  const memory = new MessageMemory(Infinity)
  const closed = new Promise<void>((resolve) => {
    const server = createServer((message, response) => {
      if (message.url === '/first') return
      holdUntilRead(memory, response, BODY.length)
      response.end(BODY)
      message.socket.once('close', () => {
        server.close()
        resolve()
      })
      socket.destroy()
    })
    let socket: Socket
    server.listen(0, '127.0.0.1', () => {
      socket = connect((server.address() as AddressInfo).port, '127.0.0.1', () => { socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n') })
      socket.on('error', () => { socket.destroy() })
    })
  })
  await closed
  assert.is(memory.heldBytes, 0)
})

test.run()
