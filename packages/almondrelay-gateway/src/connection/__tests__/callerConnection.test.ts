import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { HeldServer } from '../__fixtures__/heldServer.js'
import { ReadFailure } from '../readFailure.js'

const test = suite('CallerConnection')
const { read, waitFor } = HeldServer

/** Longer than the time after which the server reports a late head, with the margin that it adds and the interval of its checks. */
const LATE_MS = 2_600
/** More bytes than the socket buffers of both sides hold. */
const LARGE_ANSWER_BYTES = 16 * 1024 * 1024
const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 100, idleTimeoutMs: 60_000 }

let owner = new AbortController()

test.before.each(() => { owner = new AbortController() })
test.after.each(() => { owner.abort() })

const makeGet = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`
const listStatuses = (text: string): string[] => [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => status ?? '')
const sleep = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Starts a server that is being stopped while it writes a large answer, which its caller doesn't read yet. */
const stopDuringAnswer = async (): ReturnType<typeof HeldServer.start> => {
  const { held, socket } = await HeldServer.start(owner.signal)
  socket.pause()
  socket.write(makeGet('/1'))
  await waitFor(() => held.paths.length === 1, 'the request')
  held.answer('/1', 'x'.repeat(LARGE_ANSWER_BYTES))
  await sleep(20)
  held.server.leave()
  held.server.close()
  return { held, socket }
}

// Guards against a 408 in place of the answer to a request that is running, because of a later request on its connection.
test('a late head behind a running request waits for the answer to that request', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  held.server.setLimits(LIMITS)
  const received = read(socket)
  socket.write(`${makeGet('/1')}GET /2 HTTP/1.1\r\nHo`)
  await waitFor(() => held.paths.length === 1, 'the first request')
  await sleep(LATE_MS)
  assert.is(received.text, '')
  held.answer('/1')
  await waitFor(() => received.text.includes('answer to /1;'), 'the answer')
  socket.write('st: a.example\r\n\r\n')
  await waitFor(() => held.paths.length === 2, 'the second request')
  held.answer('/2')
  await waitFor(() => received.text.includes('answer to /2;'), 'the second answer')
  assert.equal(listStatuses(received.text), ['200', '200'])
})

test('a head that stays late is answered 408 after the answers to the requests before it', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  held.server.setLimits(LIMITS)
  const received = read(socket)
  socket.write(`${makeGet('/1')}GET /2 HTTP/1.1\r\nHo`)
  await waitFor(() => held.paths.length === 1, 'the first request')
  await sleep(LATE_MS)
  held.answer('/1')
  await waitFor(() => received.isEnded, 'the end of the connection')
  assert.equal(listStatuses(received.text), ['200', '408'])
  assert.match(received.text, /answer to \/1;HTTP\/1\.1 408 [^]*Connection: close/)
})

test('a late head on a connection without other requests is answered 408', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  held.server.setLimits(LIMITS)
  const received = read(socket)
  socket.write('GET /1 HTTP/1.1\r\nHo')
  await waitFor(() => received.isEnded, 'the end of the connection')
  assert.equal(listStatuses(received.text), ['408'])
  assert.equal(held.paths, [])
})

// Guards against a 400 in place of the answer to a request that is running, because of bytes behind it that are no request.
test('bytes that are no request are answered 400 after the answers to the requests before them', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  const received = read(socket)
  socket.write(`${makeGet('/1')}${makeGet('/2')}no request\r\n\r\n`)
  await waitFor(() => held.paths.length === 2, 'the requests')
  await sleep(20)
  assert.is(received.text, '')
  held.answer('/2')
  held.answer('/1')
  await waitFor(() => received.isEnded, 'the end of the connection')
  assert.equal(listStatuses(received.text), ['200', '200', '400'])
  assert.equal(held.readFailures.map(({ failure, waiting }) => ({ failure, waiting })), [{ failure: ReadFailure.malformed, waiting: 2 }])
  assert.equal(held.abortedPaths, [])
})

// Guards against a 400 in place of the answer to a request that asked for its connection to be closed.
test('bytes behind a request that closes its connection are not answered', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  const received = read(socket)
  socket.write('GET /1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\n')
  await waitFor(() => held.paths.length === 1, 'the request')
  await sleep(20)
  held.answer('/1')
  await waitFor(() => received.isEnded, 'the end of the connection')
  assert.equal(listStatuses(received.text), ['200'])
  assert.match(received.text, /Connection: close[^]*answer to \/1;$/)
})

test('a body that is no body is answered 400, and its request is not handled further', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  const received = read(socket)
  socket.write(`${makeGet('/1')}POST /2 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n`)
  await waitFor(() => held.paths.length === 2, 'the requests')
  socket.write('no size\r\n')
  await waitFor(() => held.abortedPaths.length === 1, 'the abort of the second request')
  held.answer('/1')
  await waitFor(() => received.isEnded, 'the end of the connection')
  assert.equal(listStatuses(received.text), ['200', '400'])
  assert.equal(held.abortedPaths, ['/2'])
})

// Guards against a connection that is left open, or a process that ends, after a caller's reset.
test('a caller that resets its connection aborts its requests', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  socket.on('error', () => undefined)
  socket.write(makeGet('/1') + makeGet('/2'))
  await waitFor(() => held.paths.length === 2, 'the requests')
  socket.resetAndDestroy()
  await waitFor(() => held.abortedPaths.length === 2, 'the abort of the requests')
  assert.is(held.server.countUnanswered(), 0)
})

test('a caller that ends its connection in the middle of a head gets no answer to it', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  const received = read(socket)
  socket.end('GET /1 HTT')
  await waitFor(() => received.isEnded, 'the end of the connection')
  assert.equal(held.paths, [])
})

// Guards against an order that is read and dropped on a connection that says keep-alive, although its host is stopping.
test('at a planned stop, a connection ends although its last answer was ready before the stop began', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  const received = read(socket)
  socket.write(makeGet('/1') + makeGet('/2'))
  await waitFor(() => held.paths.length === 2, 'the requests')
  held.answer('/2')
  await sleep(20)
  held.server.leave()
  held.server.close()
  held.answer('/1')
  await waitFor(() => received.isEnded, 'the end of the connection')
  assert.match(received.text, /answer to \/1;HTTP[^]*Connection: close[^]*answer to \/2;$/)
})

test('at a planned stop, a connection ends once an answer that was being written has been sent', async () => {
  const { socket } = await stopDuringAnswer()
  await sleep(20)
  const received = read(socket)
  socket.resume()
  await waitFor(() => received.isEnded, 'the end of the connection')
  assert.ok(received.text.length > LARGE_ANSWER_BYTES)
})

// Guards against a request that is dropped behind an answer which said keep-alive before the stop began.
test('at a planned stop, a request behind an answer that is being written is answered', async () => {
  const { held, socket } = await stopDuringAnswer()
  socket.write(makeGet('/2'))
  await waitFor(() => held.paths.length === 2, 'the second request')
  held.answer('/2')
  const received = read(socket)
  socket.resume()
  await waitFor(() => received.isEnded, 'the end of the connection')
  assert.match(received.text, /Connection: close[^]*answer to \/2;$/)
})

// Guards against a header of one answer that closes the connection under the other requests on it.
test('an answer whose header can\'t be written costs its own request alone', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  const received = read(socket)
  socket.write(makeGet('/1') + makeGet('/2') + makeGet('/3'))
  await waitFor(() => held.paths.length === 3, 'the requests')
  held.answer('/2', 'unwritable', ['X-Note', 'a\u0001b'])
  held.answer('/1')
  held.answer('/3')
  await waitFor(() => received.text.includes('answer to /3;'), 'the last answer')
  assert.equal(listStatuses(received.text), ['200', '502', '200'])
  assert.is(held.errors.length, 1)
  await waitFor(() => held.memory.heldBytes === 0, 'the release of the bytes')
})

// Guards against a last answer that is cut short, because further requests behind it are unread when its connection is closed.
test('the last answer arrives in full, whatever its caller sends behind it', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  let received = 0
  socket.on('data', (bytes) => {
    received += bytes.length
    socket.pause()
    setTimeout(() => { socket.resume() }, 1)
  })
  const ended = new Promise<string>((resolve) => {
    socket.once('end', () => { resolve('end') })
    socket.once('error', (error) => { resolve(error.message) })
  })
  socket.write(makeGet('/1'))
  await waitFor(() => held.paths.length === 1, 'the request')
  held.server.leave()
  held.answer('/1', 'x'.repeat(LARGE_ANSWER_BYTES / 4))
  const timer = setInterval(() => { socket.write(makeGet('/2').repeat(20)) }, 2)
  const outcome = await ended
  clearInterval(timer)
  assert.is(outcome, 'end')
  assert.ok(received > LARGE_ANSWER_BYTES / 4)
  assert.equal(held.paths, ['/1'])
})

test('a caller that goes on sending after its last answer is cut off', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  const received = read(socket)
  socket.on('error', () => undefined)
  socket.write(makeGet('/1'))
  await waitFor(() => held.paths.length === 1, 'the request')
  held.server.leave()
  held.answer('/1')
  const timer = setInterval(() => { socket.write(`${'x'.repeat(50_000)}\r\n`) }, 1)
  await waitFor(() => received.isEnded, 'the end of the connection')
  clearInterval(timer)
  assert.equal(listStatuses(received.text), ['200'])
})

test('a failure of the handling is answered 500', async () => {
  const { held, socket } = await HeldServer.start(owner.signal)
  const received = read(socket)
  socket.write(makeGet('/1'))
  await waitFor(() => held.paths.length === 1, 'the request')
  held.abort('/1')
  await waitFor(() => received.text.endsWith('\r\n\r\n'), 'the answer')
  assert.equal(listStatuses(received.text), ['500'])
})

test.run()
