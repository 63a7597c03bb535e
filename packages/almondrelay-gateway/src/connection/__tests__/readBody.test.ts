import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BodyReadResult } from '../bodyReadResult.js'
import { MessageMemory } from '../messageMemory.js'
import { readBody } from '../readBody.js'

const test = suite('readBody')
const MAX_BYTES = 1_000
let memory = new MessageMemory(1_200)
let server: Server
let results: BodyReadResult[] = []
let sockets: Socket[] = []

const send = (text: string): Socket => {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.on('error', () => { socket.destroy() })
  socket.write(`POST / HTTP/1.1\r\nHost: a\r\n${text}`)
  sockets.push(socket)
  return socket
}
const waitFor = async (check: () => boolean): Promise<void> => {
  for (let look = 0; look < 500 && !check(); look += 1) await new Promise((resolve) => { setTimeout(resolve, 5) })
  assert.ok(check())
}

test.before.each(async () => {
  memory = new MessageMemory(1_200)
  results = []
  sockets = []
  server = createServer((message) => { void readBody(message, MAX_BYTES, memory).then((result) => { results.push(result) }) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
})
test.after.each(() => {
  for (const socket of sockets) socket.destroy()
  server.close()
})

test('a body counts from its first byte until its owner releases it', async () => {
  const socket = send('Content-Length: 9\r\n\r\nfirst')
  await waitFor(() => memory.heldBytes === 5)
  socket.write(' two')
  await waitFor(() => results.length === 1)
  const [result] = results
  assert.is(result?.kind === 'whole' && result.body.toString(), 'first two')
  assert.is(memory.heldBytes, 9)
  if (result?.kind === 'whole') result.held.release()
  assert.is(memory.heldBytes, 0)
})

test('a body that is too long, or whose caller leaves, is released', async () => {
  send(`Content-Length: 1001\r\n\r\n${'x'.repeat(1_001)}`)
  await waitFor(() => results.length === 1)
  const socket = send('Content-Length: 9\r\n\r\nfirst')
  await waitFor(() => memory.heldBytes === 5)
  socket.destroy()
  await waitFor(() => results.length === 2)
  assert.equal(results.map(({ kind }) => kind), ['too-long', 'cut-short'])
  assert.is(memory.heldBytes, 0)
})

// Guards against bodies of many requests that together take more memory than the process may use.
test('a body for which there is no room is given up, and one that was received in full is kept', async () => {
  send(`Content-Length: 500\r\n\r\n${'x'.repeat(500)}`)
  await waitFor(() => results.length === 1)
  send(`Content-Length: 900\r\n\r\n${'y'.repeat(400)}`)
  await waitFor(() => results.length === 2)
  assert.equal(results.map(({ kind }) => kind), ['whole', 'no-room'])
  assert.is(memory.heldBytes, 500)
})

test.run()
