import { connect, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { HeldServer } from '../__fixtures__/heldServer.js'

const test = suite('CallerServer')

/** More bytes than the socket buffers of both sides hold. */
const LARGE_ANSWER_BYTES = 16 * 1024 * 1024

const { read, waitFor } = HeldServer
const start = async (): Promise<{ held: HeldServer, socket: Socket }> => HeldServer.start()
const makeGet = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`

// A host stops while a caller has two requests on one connection, and the target answers the second one first. With a decision by
// the number of unanswered requests neither answer closed the connection: the caller kept sending on it until the process
// was killed while its requests were running.
test('at a planned stop every request that was read is answered, in whatever order the answers arrive', async () => {
  const { held, socket } = await start()
  const seen = read(socket)
  socket.write(makeGet('/1') + makeGet('/2'))
  await waitFor(() => held.paths.length === 2, 'both requests')
  held.server.leave()
  held.answer('/2')
  await new Promise((resolve) => { setImmediate(resolve) })
  held.answer('/1')
  await waitFor(() => seen.isEnded, 'the end of the connection')
  assert.match(seen.text, /answer to \/1;[^]*answer to \/2;/)
  held.server.close()
})

// A caller requests a large answer and doesn't read it. The bytes held for it count until its connection ends, so that other
// requests are refused in time.
test('a large answer counts until its caller has received it or disconnected', async () => {
  const { held, socket } = await start()
  socket.pause()
  socket.write(makeGet('/large'))
  await waitFor(() => held.paths.length === 1, 'the request')
  held.answer('/large', 'x'.repeat(LARGE_ANSWER_BYTES))
  await waitFor(() => held.memory.heldBytes === LARGE_ANSWER_BYTES, 'the bytes held')
  socket.destroy()
  await waitFor(() => held.memory.heldBytes === 0, 'the release of the bytes')
  const next = connect(held.port, '127.0.0.1')
  const seen = read(next)
  next.write(makeGet('/next'))
  await waitFor(() => held.paths.length === 2, 'the next request')
  held.answer('/next', 'x'.repeat(100_000))
  await waitFor(() => seen.text.length > 100_000, 'the answer')
  await waitFor(() => held.memory.heldBytes === 0, 'the release of the bytes that were read')
  next.destroy()
  held.server.close()
})

// A caller that keeps sending on an open connection would delay the stop until the process is killed while its requests are
// running. Requests that arrive after the server was closed are not handled: the caller sends them to another host.
test('after the server was closed, no further request on an open connection is handled', async () => {
  const { held, socket } = await start()
  const seen = read(socket)
  socket.write(makeGet('/1'))
  await waitFor(() => held.paths.length === 1, 'the request')
  held.server.leave()
  held.server.close()
  socket.write(makeGet('/2'))
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  held.answer('/1')
  await waitFor(() => seen.isEnded, 'the end of the connection')
  assert.equal(held.paths, ['/1'])
  assert.match(seen.text, /Connection: close[^]*answer to \/1;$/)
})

// A caller disconnects with three requests pending on one connection. Only the first response noticed it: the other requests
// were sent to targets although nobody waited, and counted as unanswered for the rest of the process, so that a planned stop
// waited for them until the process was killed.
test('when a caller disconnects, every request of its connection is aborted', async () => {
  const { held, socket } = await start()
  socket.write(makeGet('/1') + makeGet('/2') + makeGet('/3'))
  await waitFor(() => held.paths.length === 3, 'the requests')
  assert.is(held.server.countUnanswered(), 3)
  socket.destroy()
  await waitFor(() => held.abortedPaths.length === 3, 'the abort of each request')
  assert.is(held.server.countUnanswered(), 0)
  held.server.close()
})

// A caller's connection waited long to be accepted. Its request and its disconnection are read right after one another; the
// request must not be handled.
test('a request whose caller disconnected before it was read is not handled', async () => {
  const held = new HeldServer()
  const port = await held.server.listen('127.0.0.1', 0)
  const socket = connect(port, '127.0.0.1')
  socket.end(makeGet('/1'))
  await new Promise((resolve) => socket.once('close', resolve))
  assert.equal(held.paths, [])
  assert.is(held.server.countUnanswered(), 0)
  held.server.close()
})

// A caller downloads a large answer while its host makes a planned stop, and the connection ended in the middle of it. The answer
// had been written but not yet sent in full when the server was closed; Node's own `Server.close` treats such a
// connection as idle and destroys it together with the unsent data.
test('a large answer that is still being sent when the server is closed arrives in full', async () => {
  const { held, socket } = await start()
  socket.pause()
  socket.write(makeGet('/1'))
  await waitFor(() => held.paths.length === 1, 'the request')
  held.answer('/1', 'x'.repeat(LARGE_ANSWER_BYTES))
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  held.server.leave()
  held.server.close()
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  const seen = read(socket)
  socket.resume()
  await waitFor(() => seen.text.length >= LARGE_ANSWER_BYTES || seen.isEnded, 'the answer')
  assert.ok(seen.text.length > LARGE_ANSWER_BYTES, `received only ${seen.text.length} bytes`)
  socket.destroy()
})

// A caller's request has been received in part when the server is closed. If its connection were closed, the caller would have to
// send the request again; if the rest were not read, the caller would wait until the process is killed.
test('when the server is closed, a partially received request is answered and an idle connection is closed', async () => {
  const { held, socket } = await start()
  const seen = read(socket)
  const idle = connect(held.port, '127.0.0.1')
  const seenIdle = read(idle)
  await new Promise((resolve) => idle.once('connect', resolve))
  socket.write('GET /1 HTTP/1.1\r\nHost: a.exa')
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  held.server.leave()
  held.server.close()
  await waitFor(() => seenIdle.isEnded, 'the end of the idle connection')
  socket.write('mple\r\n\r\n')
  await waitFor(() => held.paths.length === 1, 'the request')
  held.answer('/1')
  await waitFor(() => seen.isEnded, 'the end of the connection')
  assert.match(seen.text, /Connection: close[^]*answer to \/1;$/)
})

test('before a planned stop, a connection is kept open for the next request', async () => {
  const { held, socket } = await start()
  const seen = read(socket)
  socket.write(makeGet('/1'))
  await waitFor(() => held.paths.length === 1, 'the request')
  held.answer('/1')
  await waitFor(() => seen.text.includes('answer to /1;'), 'the answer')
  assert.not.match(seen.text, /Connection: close/)
  socket.destroy()
  held.server.close()
})

// Guards against requests that the configuration allows and that are refused, as Node.js has a limit of its own.
test('the head of a request may have as many bytes as the configuration allows', async () => {
  const { held } = await start()
  const send = async (bytes: number): Promise<string> => {
    const socket = connect(held.port, '127.0.0.1')
    const seen = read(socket)
    const path = `/${bytes}`
    socket.write(`GET ${path} HTTP/1.1\r\nHost: a.example\r\nLong: ${'x'.repeat(bytes)}\r\n\r\n`)
    await waitFor(() => seen.isEnded || held.paths.includes(path), 'the end or the request')
    if (held.paths.includes(path)) held.answer(path)
    await waitFor(() => seen.text.includes('\r\n'), 'the answer')
    socket.destroy()
    return seen.text.slice(9, 12)
  }
  held.server.setLimits({ maxHeaderBytes: 65_536, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 })
  assert.equal([await send(20_000), await send(60_000), await send(70_000)], ['200', '200', '431'])
  held.server.setLimits({ maxHeaderBytes: 8_192, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 })
  assert.equal([await send(8_000), await send(9_000)], ['200', '431'])
  held.server.close()
})

test.run()
