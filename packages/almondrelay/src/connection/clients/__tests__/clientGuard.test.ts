import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTestGuard } from '../../__fixtures__/makeTestGuard.js'
import { ClientCloseReason } from '../clientCloseReason.js'
import type { ClientClosure } from '../clientClosure.js'
import { ClientGuard } from '../clientGuard.js'
import type { ClientLimits } from '../clientLimits.js'

const test = suite('ClientGuard')
const RUNS = 60
const MAX_POLLS = 500
const MB = 1024 * 1024
/** Limit of connections under which one connection without a request begins the pacing. */
const PACED = { maxConnections: 7 }
/** Bytes that Node reads from a socket at once. */
const NODE_READ_BYTES = 64 * 1024

let server: Server
let guard: ClientGuard
let closures: ClientClosure[]
/** Requests that the server keeps until the test answers them. */
let kept: ServerResponse[]
const sockets: Socket[] = []

const readAll = async (message: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = []
  for await (const chunk of message) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString()
}
const answer = (message: IncomingMessage, response: ServerResponse): void => {
  if (message.url?.startsWith('/keep') === true) {
    kept.push(response)
    return
  }
  readAll(message).then((body) => { response.end(`${message.url} ${body.length};`) }, () => undefined)
}
const start = async (limits: Partial<ClientLimits> = {}): Promise<void> => {
  closures = []
  kept = []
  server = createServer({ requireHostHeader: false }, answer)
  const parts = makeTestGuard(closures)
  guard = new ClientGuard(server, { ...parts, limits: { ...parts.limits, ...limits } })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
}
const open = (): Socket => {
  const socket = connect({ host: '127.0.0.1', port: (server.address() as AddressInfo).port })
  socket.on('error', () => { socket.destroy() })
  sockets.push(socket)
  return socket
}
const waitUntil = async (check: () => boolean, what: string): Promise<void> => {
  for (let polls = 0; !check(); polls += 1) {
    assert.ok(polls < MAX_POLLS, what)
    await new Promise((resolve) => { setTimeout(resolve, 10) })
  }
}
/** Collects the bodies of all answers on a socket. */
const collect = (socket: Socket): { read: () => string } => {
  let text = ''
  socket.on('data', (bytes: Buffer) => { text += bytes.toString() })
  return { read: () => [...text.matchAll(/\/\S* \d+;/g)].join('') }
}

test.after.each(() => {
  for (const socket of sockets.splice(0)) socket.destroy()
  server.closeAllConnections()
  server.close()
})

const requestArbitrary = fc.record({ path: fc.integer({ min: 0, max: 9_999 }), body: fc.option(fc.integer({ min: 0, max: 9_000 })), isChunked: fc.boolean(), headBytes: fc.integer({ min: 0, max: 5_000 }) })
const encodeRequest = ({ path, body, isChunked, headBytes }: { path: number, body: number | null, isChunked: boolean, headBytes: number }): string => {
  const start = `${body === null ? 'GET' : 'POST'} /${path} HTTP/1.1\r\nX: ${'x'.repeat(headBytes)}\r\n`
  if (body === null) return `${start}\r\n`
  const text = 'b'.repeat(body)
  return isChunked ? `${start}Transfer-Encoding: chunked\r\n\r\n${body === 0 ? '' : `${body.toString(16)}\r\n${text}\r\n`}0\r\n\r\n` : `${start}Content-Length: ${body}\r\n\r\n${text}`
}

// Guards against requests that are lost, doubled or changed where received bytes are split for the parser.
for (const includesBodies of [false, true]) {
  test(`whatever a client sends ahead, in whatever pieces, is answered in its order, and nothing stays counted${includesBodies ? ', at a paced port' : ''}`, async () => {
    await start({ includesBodies })
    await fc.assert(fc.asyncProperty(fc.array(requestArbitrary, { minLength: 1, maxLength: 200 }), fc.array(fc.integer({ min: 1, max: 70_000 }), { minLength: 1, maxLength: 10 }), async (requests, cuts) => {
      const socket = open()
      const answers = collect(socket)
      const bytes = Buffer.from(requests.map(encodeRequest).join(''))
      for (let offset = 0, index = 0; offset < bytes.length; index += 1) {
        const length = cuts[index % cuts.length] ?? 1
        socket.write(bytes.subarray(offset, offset + length))
        offset += length
        if (index % 3 === 0) await new Promise((resolve) => { setImmediate(resolve) })
      }
      const expected = requests.map(({ path, body }) => `/${path} ${body ?? 0};`).join('')
      await waitUntil(() => answers.read().length >= expected.length, 'all requests are answered')
      assert.is(answers.read(), expected)
      socket.destroy()
      await waitUntil(() => guard.heldBytes === 0, 'nothing stays counted')
    }), { numRuns: RUNS, seed: 76 })
    assert.equal(closures, [])
  })
}

// Guards against a process that runs out of memory because of requests whose answers are not read, or that take long.
test('the client that holds most is closed once all clients hold too much, and others are served', async () => {
  await start({ maxHeldBytes: MB / 2 })
  const small = open()
  const answers = collect(small)
  small.write('GET /keep HTTP/1.1\r\n\r\n')
  await waitUntil(() => kept.length === 1, 'the small request is read')
  const large = open()
  large.write('GET /keep HTTP/1.1\r\n\r\n'.repeat(50_000))
  await waitUntil(() => closures.length > 0, 'the large client is closed')
  assert.is(closures[0]?.reason, ClientCloseReason.memory)
  await waitUntil(() => large.destroyed, 'its connection ends')
  assert.not(small.destroyed)
  kept[0]?.end('/keep 0;')
  await waitUntil(() => answers.read() === '/keep 0;', 'the small client gets its answer')
  await waitUntil(() => guard.heldBytes === 0, 'nothing stays counted')
})

// Guards against a process that parses without end what a client has sent ahead.
test('at a port that is paced, a client that sends ahead is read further only as its requests are answered', async () => {
  await start(PACED)
  const socket = open()
  socket.write('GET /keep HTTP/1.1\r\n\r\n'.repeat(50_000))
  await waitUntil(() => kept.length >= 64, 'the first requests are read')
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  assert.ok(kept.length < 300, `${kept.length} requests are read`)
  assert.equal(closures, [])
})

// Guards against a process that parses without end what the first client of a crowd has sent ahead.
test('at a calm port, a client that sends ahead is read further only as its requests are answered, but for one read of Node', async () => {
  await start()
  const socket = open()
  const text = 'GET /keep HTTP/1.1\r\n\r\n'
  socket.write(text.repeat(50_000))
  await waitUntil(() => kept.length >= 64, 'the first requests are read')
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  assert.ok(kept.length <= NODE_READ_BYTES / text.length + 300, `${kept.length} requests are read`)
  const next = open()
  const before = kept.length
  next.write(text.repeat(50_000))
  await waitUntil(() => kept.length > before, 'a second client is read')
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  assert.ok(kept.length < before + 300, `${kept.length - before} requests of a second client are read`)
})

// Guards against unfinished heads whose lines nobody counts.
test('unfinished heads count as soon as many clients have sent no request', async () => {
  await start(PACED)
  const clients = Array.from({ length: 3 }, () => open())
  for (const client of clients) client.write(`GET / HTTP/1.1\r\n${'a:\r\n'.repeat(1_000)}`)
  await waitUntil(() => guard.heldBytes > 3 * 4_000 * 10, 'the heads are counted')
  for (const client of clients) client.destroy()
  await waitUntil(() => guard.heldBytes === 0, 'nothing stays counted')
})

// Guards against connections of clients that send nothing, beyond which nobody can connect.
test('beyond the limit of connections, those that were never answered are closed first, and those in use are kept', async () => {
  await start({ maxConnections: 4 })
  const [used, running] = [open(), open()]
  const answers = collect(used)
  used.write('GET /1 HTTP/1.1\r\n\r\n')
  await waitUntil(() => answers.read() === '/1 0;', 'the first client is served')
  running.write('GET /keep HTTP/1.1\r\n\r\n')
  await waitUntil(() => kept.length === 1, 'the second client is being served')
  const silent = Array.from({ length: 10 }, () => open())
  await waitUntil(() => closures.length === 8, 'the silent clients are closed')
  assert.ok(closures.every(({ reason }) => reason === ClientCloseReason.connections))
  assert.is(silent.filter(({ destroyed }) => destroyed).length >= 7, true)
  const last = open()
  const lastAnswers = collect(last)
  last.write('GET /2 HTTP/1.1\r\n\r\n')
  await waitUntil(() => lastAnswers.read() === '/2 0;', 'a further client is served')
  assert.not(used.destroyed)
  assert.not(running.destroyed)
})

// Guards against answers that stay in memory for as long as a client likes.
test('a client that takes no part of its answers is closed after the timeout, and not before', async () => {
  await start()
  const socket = open()
  socket.pause()
  socket.write('GET /keep HTTP/1.1\r\n\r\n')
  await waitUntil(() => kept.length === 1, 'the request is read')
  kept[0]?.end('x'.repeat(20 * MB))
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  guard.closeStalled(1_000)
  guard.closeStalled(30_999)
  assert.equal(closures, [])
  guard.closeStalled(31_000)
  assert.is(closures[0]?.reason, ClientCloseReason.unread)
})

test.run()
