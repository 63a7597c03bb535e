import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { AnswerMemory } from '../answerMemory.js'
import { holdUntilRead } from '../holdUntilRead.js'

const test = suite('holdUntilRead')
const BODY = Buffer.alloc(8_000_000)

// Guards against memory that is held for ever for a caller, or for another host, that stops reading its answer.
test('an answer that nobody reads is counted until the timeout', async () => {
  const memory = new AnswerMemory(Infinity)
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

test.run()
