import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { AttemptResult } from '../../request/attemptResult.js'
import type { TargetRequest } from '../../request/targetRequest.js'
import { makeRequest } from '../__fixtures__/makeRequest.js'
import { PlainTargetCodec } from '../__fixtures__/plainTargetCodec.js'
import { startScriptedTarget } from '../__fixtures__/scriptedTarget.js'
import { MessageMemory } from '../messageMemory.js'
import type { StrayAnswer } from '../strayAnswer.js'
import { TargetConnection } from '../targetConnection.js'

const test = suite('stray answers')
const codec = new PlainTargetCodec()
const LATE_MS = 20
const GIVE_UP_MS = 2_000
let owner = new AbortController()
let strays: StrayAnswer[] = []

const makeAnswer = (headers: string, body: string, status = 200): string =>
  `HTTP/1.1 ${status} \r\n${headers}signed: yes\r\nkeep: 10000\r\ncontent-length: ${body.length}\r\n\r\n${body}`
const FIRST = makeAnswer('id: r1\r\n', 'first')
const SECOND = makeAnswer('id: r2\r\n', 'second')
const FAILURE = makeAnswer('id: r2\r\n', 'failure', 500)

const open = async (port: number): Promise<TargetConnection> => {
  const memory = new MessageMemory(Infinity)
  const opened = await TargetConnection.open('127.0.0.1', port, 1_000, { codec, getNow: () => 0, memory, observeUnsound: () => undefined, observeStray: (stray) => { strays.push(stray) } }, () => undefined)
  if (opened.kind === 'failed') throw new Error(opened.failure)
  return opened.connection
}

/** Stands in for the deadline of a request that is never answered. */
const waitForDeadline = (): Promise<AttemptResult> =>
  new Promise((resolve) => { setTimeout(() => { resolve({ kind: 'not-sent', reason: 'still waiting' }) }, GIVE_UP_MS).unref() })

const send = (connection: TargetConnection, request: Partial<TargetRequest>): Promise<AttemptResult> => {
  connection.take()
  const made = makeRequest(request)
  return Promise.race([connection.exchange(made, codec.encodeHead(made, 't', 100)), waitForDeadline()])
}

/** Sends two requests on one connection to a target that answers the first one with `FIRST` and the second one with `written`. */
const sendTwo = async (written: string, second: Partial<TargetRequest> = {}): Promise<{ connection: TargetConnection, result: AttemptResult }> => {
  const port = await startScriptedTarget((socket, request) => { socket.write(request === 1 ? FIRST : written) }, owner.signal)
  const connection = await open(port)
  await send(connection, {})
  return { connection, result: await send(connection, { id: 'r2', ...second }) }
}

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
  for (let look = 0; look < 500 && !isTrue(); look += 1) await new Promise((resolve) => { setTimeout(resolve, 5) })
}

test.before.each(() => {
  owner = new AbortController()
  strays = []
})
test.after.each(() => { owner.abort() })

const UNNAMED = [
  { name: 'no id', headers: '' },
  { name: 'an id that was not sent', headers: 'id: r9\r\n' },
  { name: 'the id in other letters', headers: 'id: R2\r\n' },
  { name: 'two ids', headers: 'id: r2\r\nid: r1\r\n' }
]

// Guards against a success where the target had failed: the failure named no id, was passed over, and the second answer was passed on.
for (const { name, headers } of UNNAMED) {
  for (const status of [200, 500, 503, 504]) {
    test(`a request ends as broken at an answer ${status} with ${name}, whatever follows`, async () => {
      const { connection, result } = await sendTwo(makeAnswer(headers, 'failure', status) + SECOND)
      assert.is(result.kind, 'broken')
      assert.ok(connection.isClosed)
      assert.is(strays.length, 1)
      assert.equal([strays[0]?.status, strays[0]?.awaitedId], [status, 'r2'])
    })
  }
}

// Guards against an order that waits until its deadline for an answer that can't come.
test('a request ends as broken at an answer with no id if nothing follows', async () => {
  assert.is((await sendTwo(makeAnswer('', 'failure', 504))).result.kind, 'broken')
})

test('a repeated answer with another status is passed over, and the first answer to the next request is passed on', async () => {
  const { connection, result } = await sendTwo(makeAnswer('id: r1\r\n', 'late failure', 500) + FAILURE + SECOND)
  assert.is(result.kind === 'answered' && result.body.toString(), 'failure')
  assert.ok(connection.isClosed)
  assert.equal(strays.map(({ handling }) => handling), ['passed-over'])
})

// Guards against a target that takes a host's processor time with repeated answers without end.
test('a request ends as broken behind more than sixteen repeated answers', async () => {
  assert.is((await sendTwo(FIRST.repeat(17) + SECOND)).result.kind, 'broken')
  assert.is((await sendTwo(FIRST.repeat(16) + SECOND)).result.kind, 'answered')
})

test('a connection isn\'t used again after a request with a very long id', async () => {
  const id = 'r'.repeat(300)
  const port = await startScriptedTarget((socket) => { socket.write(makeAnswer(`id: ${id}\r\n`, 'long')) }, owner.signal)
  const connection = await open(port)
  assert.is((await send(connection, { id })).kind, 'answered')
  assert.ok(connection.isClosed)
})

test('a repeated answer in chunks is passed over', async () => {
  const { result } = await sendTwo(`HTTP/1.1 200 \r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n${SECOND}`)
  assert.is(result.kind === 'answered' && result.body.toString(), 'second')
})

// Guards against an answer that counts as the body of a repeated one that was cut, so that its request waits until its deadline, or
// takes what follows for its answer.
for (const length of [20, 60, 1_000]) {
  test(`a request ends as broken if its answer lies within a repeated one that was cut ${length} bytes before its end`, async () => {
    const cut = makeAnswer('id: r1\r\n', 'x'.repeat(length + 5)).slice(0, -length)
    const { result } = await sendTwo(cut + FAILURE + SECOND)
    assert.is(result.kind, 'broken')
  })
}

test('the id of the awaited request is found in a cut answer when it arrives byte by byte', async () => {
  const port = await startScriptedTarget((socket, request) => {
    if (request === 1) {
      socket.write(FIRST)
      return
    }
    const bytes = makeAnswer('id: r1\r\n', 'x'.repeat(500)).slice(0, -400) + SECOND
    let sent = 0
    const timer = setInterval(() => {
      socket.write(bytes.charAt(sent))
      sent += 1
      if (sent >= bytes.length || socket.destroyed) clearInterval(timer)
    }, 1)
  }, owner.signal)
  const connection = await open(port)
  await send(connection, {})
  assert.is((await send(connection, { id: 'r2' })).kind, 'broken')
})

// Guards against a success where the target had failed: a second answer that was cut in its head was continued by the next answer, and the
// two made one answer with the status of the first and the id of the other.
test('a request ends as broken if its answer continues a repeated one that was cut in its head, wherever that ends', async () => {
  const head = 'HTTP/1.1 200 OK\r\nserver: some\r\nid: r1\r\nsigned: yes\r\ncontent-length: 0\r\n\r\n'
  for (let cut = 1; cut < head.length; cut += 1) {
    const { result } = await sendTwo(head.slice(0, cut) + FAILURE)
    assert.is(result.kind, 'broken', JSON.stringify(head.slice(0, cut)))
  }
})

test('a request ends as broken if its answer continues a repeated one that was cut in an interim head or in its trailers', async () => {
  const cuts = ['HTTP/1.1 103 Early', 'HTTP/1.1 103 Early Hints\r\nlink: a', 'HTTP/1.1 200 OK\r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n0\r\ntrailer: a']
  for (const cut of cuts) {
    const { result } = await sendTwo(cut + FAILURE.replace('content-length: 7', 'content-length: 0').replace('failure', ''))
    assert.is(result.kind, 'broken', cut)
  }
})

// Guards against a request that waits until its deadline behind a repeated answer that ends with the connection.
test('a request ends as broken at a repeated answer without a length', async () => {
  const { result } = await sendTwo(`HTTP/1.1 200 \r\nid: r1\r\n\r\nfirst${SECOND}`)
  assert.is(result.kind, 'broken')
})

test('a repeated answer to a HEAD request is passed over without a body', async () => {
  const head = 'HTTP/1.1 200 \r\nid: r1\r\nkeep: 10000\r\ncontent-length: 5\r\n\r\n'
  const port = await startScriptedTarget((socket, request) => { socket.write(request === 1 ? head : head + SECOND) }, owner.signal)
  const connection = await open(port)
  await send(connection, { method: 'HEAD' })
  const result = await send(connection, { id: 'r2' })
  assert.is(result.kind === 'answered' && result.body.toString(), 'second')
})

const UNREQUESTED = [
  { name: 'a repeated answer', bytes: FIRST },
  { name: 'the beginning of an answer', bytes: 'HTTP/1.1 2' },
  { name: 'an interim answer', bytes: 'HTTP/1.1 103 Early Hints\r\n\r\n' }
]

// Guards against the next request losing its answer to bytes that arrived before it was sent.
for (const { name, bytes } of UNREQUESTED) {
  for (const isTogether of [true, false]) {
    test(`a connection closes at ${name} that arrives ${isTogether ? 'with' : 'after'} an answer, while no request waits`, async () => {
      const port = await startScriptedTarget((socket) => {
        socket.write(isTogether ? FIRST + bytes : FIRST)
        if (!isTogether) setTimeout(() => { socket.write(bytes) }, LATE_MS)
      }, owner.signal)
      const connection = await open(port)
      assert.is((await send(connection, {})).kind, 'answered')
      await waitUntil(() => connection.isClosed)
      assert.ok(connection.isClosed)
    })
  }
}

test('line ends between answers leave a connection open', async () => {
  const port = await startScriptedTarget((socket, request) => { socket.write(request === 1 ? `${FIRST}\r` : `\n${SECOND}`) }, owner.signal)
  const connection = await open(port)
  await send(connection, {})
  const result = await send(connection, { id: 'r2' })
  assert.is(result.kind === 'answered' && result.body.toString(), 'second')
  assert.not(connection.isClosed)
  assert.equal(strays, [])
})

// Guards against an order that is called lost although its target has refused it without reading its id.
test('a refusal that names no request counts on a connection without an earlier request, and on no other', async () => {
  const refusal = 'HTTP/1.1 400 \r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n'
  const port = await startScriptedTarget((socket) => { socket.write(refusal) }, owner.signal)
  const first = await send(await open(port), {})
  assert.is(first.kind === 'answered' && first.head.isNotRun, true)
  assert.is((await sendTwo(refusal)).result.kind, 'broken')
})

test('a connection tells that a request id was answered on it', async () => {
  const { connection } = await sendTwo(SECOND)
  assert.equal(['r1', 'r2', 'r3'].map((id) => connection.hasAnswered(id)), [true, true, false])
})

test.run()
