import type { Socket } from 'node:net'
import { setTimeout as sleepFor } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SystemClock } from '../../../process/platform/systemClock.js'
import { AnswerIdentity } from '../../../request/answerIdentity.js'
import { HeaderName } from '../../../request/contract/headerName.js'
import type { TargetReply } from '../../../request/targetReply.js'
import type { TargetRequest } from '../../../request/targetRequest.js'
import { formatAnswer } from '../__fixtures__/formatAnswer.js'
import { RecordingTargetObserver } from '../__fixtures__/recordingTargetObserver.js'
import type { ScriptedRequest } from '../__fixtures__/scriptedRequest.js'
import { ScriptedTarget } from '../__fixtures__/scriptedTarget.js'
import { TargetConnections } from '../targetConnections.js'

type Send = (path: string, parts?: Partial<TargetRequest>) => Promise<TargetReply>

interface Trial {
  target: ScriptedTarget
  send: Send
  observer: RecordingTargetObserver
}

/** The client takes what arrived before this for an answer of its own and has ended it. */
const SECOND_ANSWER_LEAD_MS = 30
/** Long enough for the client to have sent its next request after an answer. */
const SERVICE_MS = 5
/** Ends a request whose answer never becomes complete. */
const DEADLINE_MS = 1_000

async function withTarget (script: (request: ScriptedRequest, socket: Socket) => Promise<void> | void, run: (trial: Trial) => Promise<void>): Promise<void> {
  const target = await ScriptedTarget.start(script)
  const observer = new RecordingTargetObserver()
  const connections = new TargetConnections(new SystemClock(), observer)
  const send: Send = async (path, parts = {}) => await connections.send(target.getAddress(), {
    method: 'POST', path, headers: [], body: new Uint8Array(0), idempotent: false, maxAnswerBytes: 100_000, ...parts
  }, AbortSignal.timeout(DEADLINE_MS))
  try {
    await run({ target, send, observer })
  } finally {
    await connections.close()
    target.close()
  }
}

const describe = (reply: TargetReply): string => reply.kind === 'answered' ? `${reply.status} ${Buffer.from(reply.body).toString()}` : reply.kind

/** Sends requests one after the other; the paths are their numbers. */
async function sendInTurn (send: Send, count: number): Promise<string[]> {
  const replies: string[] = []
  for (let number = 1; number <= count; number += 1) replies.push(describe(await send(`/${number}`)))
  return replies
}

/** Whether no request got the answer to another one. */
const isEachOwnOrLost = (replies: string[]): boolean => replies.every((reply, index) => reply === 'lost' || reply === `200 answer to /${index + 1}`)

interface SecondAnswer {
  name: string
  /** What the target sends when the second request has arrived, before that one's own answer. */
  format: (first: ScriptedRequest) => string
}

const SECOND_ANSWERS: SecondAnswer[] = [
  { name: 'the same', format: (first) => formatAnswer(first) },
  { name: 'another status', format: (first) => formatAnswer(first, { status: 500 }) },
  { name: 'a refusal', format: (first) => formatAnswer(first, { status: 503, lines: ['almondrelay-not-run: 1'] }) },
  { name: 'without the id', format: (first) => formatAnswer(first, { sendIds: [] }) },
  { name: 'a refusal without the id', format: (first) => formatAnswer(first, { status: 503, lines: ['almondrelay-not-run: 1'], sendIds: [] }) },
  { name: 'with several ids', format: (first) => formatAnswer(first, { sendIds: ['x', ...first.headers.get(HeaderName.sendId) ?? []] }) },
  { name: 'without a length', format: (first) => formatAnswer(first, { hasNoLength: true }) },
  { name: 'cut in its body', format: (first) => formatAnswer(first).slice(0, -4) },
  { name: 'cut after its status', format: () => 'HTTP/1.1 500 Sta' },
  { name: 'cut in a header before its id', format: () => 'HTTP/1.1 500 Status\r\ncontent-type: te' },
  { name: 'cut after a header', format: () => 'HTTP/1.1 500 Status\r\ncontent-type: text/plain\r\n' }
]

// A second answer that arrives once the next request has been sent stood on the connection where that one's answer was
// expected. Every later request on the connection then got the answer to the one before it.
for (const { name, format } of SECOND_ANSWERS) {
  for (const isAlone of [true, false]) {
    test(`a second answer (${name}), ${isAlone ? 'alone' : 'in one packet with the own one'}, is not passed on as that to the next request`, async () => {
      let first: ScriptedRequest | undefined
      let isStuttering = false
      await withTarget(async (request, socket) => {
        first ??= request
        const second = !isStuttering && request !== first ? format(first) : ''
        isStuttering ||= second !== ''
        if (isAlone && second !== '') {
          socket.write(second)
          await sleepFor(SECOND_ANSWER_LEAD_MS)
          socket.write(formatAnswer(request))
        } else {
          await sleepFor(SERVICE_MS)
          socket.write(second + formatAnswer(request))
        }
      }, async ({ send }) => {
        const replies = await sendInTurn(send, 12)
        assert.ok(isEachOwnOrLost(replies), replies.join(', '))
        assert.is(replies.filter((reply) => reply !== 'lost').length >= 11, true, replies.join(', '))
      })
    })
  }
}

// A second answer reaches an idle connection. It belongs to no request, so the connection has to be closed, and the next
// request goes by a new one and is answered.
test('a second answer on an idle connection closes it, and the next request is answered', async () => {
  await withTarget((request, socket) => {
    socket.write(formatAnswer(request))
    if (request.path === '/1') setTimeout(() => socket.write(formatAnswer(request, { status: 500 })), SECOND_ANSWER_LEAD_MS)
  }, async ({ target, send }) => {
    assert.is(describe(await send('/1')), '200 answer to /1')
    await target.waitUntilUnconnected()
    assert.is(describe(await send('/2')), '200 answer to /2')
    assert.is(target.connections, 2)
  })
})

// A target that doesn't echo ids gives no proof beyond the order on the connection, so a reused connection would pass its
// second answers on.
test('a target that does not echo ids gets a connection for each request', async () => {
  await withTarget(async (request, socket) => {
    socket.write(formatAnswer(request, { sendIds: [] }))
    await sleepFor(SERVICE_MS)
    socket.write(formatAnswer(request, { status: 500, sendIds: [] }))
  }, async ({ target, send, observer }) => {
    assert.equal(await sendInTurn(send, 5), [1, 2, 3, 4, 5].map((number) => `200 answer to /${number}`))
    assert.equal([target.connections, observer.connections, observer.unproved.length], [5, 5, 0])
  })
})

// A target that echoes must not pay with new connections for one that stutters.
test('a target that echoes ids and answers once keeps its connection', async () => {
  await withTarget((request, socket) => { socket.write(formatAnswer(request)) }, async ({ target, send, observer }) => {
    const replies = await sendInTurn(send, 20)
    assert.equal(replies, replies.map((_, index) => `200 answer to /${index + 1}`))
    assert.equal([target.connections, observer.connections], [1, 1])
    assert.is(new Set(target.requests.flatMap((request) => request.headers.get(HeaderName.sendId) ?? [])).size, 20)
  })
})

// A second answer fails the request that got it. Operators have to see which target stutters.
test('an answer that is not passed on is reported with its target and ids, and its connection is closed', async () => {
  let target: ScriptedTarget | undefined
  await withTarget(async (request, socket) => {
    if (request.path === '/2') socket.write(formatAnswer(target?.requests[0] as ScriptedRequest, { status: 500 }))
    else socket.write(formatAnswer(request))
  }, async (trial) => {
    target = trial.target
    assert.equal(await sendInTurn(trial.send, 3), ['200 answer to /1', 'lost', '200 answer to /3'])
    const [firstId, secondId] = target.requests.map((request) => request.headers.get(HeaderName.sendId)?.[0])
    assert.equal(trial.observer.unproved, [{ address: target.getAddress(), identity: AnswerIdentity.otherId, status: 500, sendId: secondId, echoedIds: [firstId] }])
    assert.is(target.connections, 2)
  })
})

// Told `not-run`, a caller sends its order again; the refusal of another request must not tell it so.
test('a refusal counts if it echoes the id or is the first answer of its connection', async () => {
  const lines = ['almondrelay-not-run: 1', 'retry-after: 2']
  await withTarget((request, socket) => {
    socket.write(formatAnswer(request, { status: 503, lines, ...(request.path === '/echoed' ? {} : { sendIds: [] }) }))
  }, async ({ target, send }) => {
    assert.equal(await send('/first'), { kind: 'shed', retryAfterMs: 2_000 })
    assert.equal(await send('/echoed'), { kind: 'shed', retryAfterMs: 2_000 })
    assert.is(describe(await send('/unnamed')), 'lost')
    assert.is(target.connections, 2)
  })
})

// A health check and an order share a connection. A second answer to the check must not be taken for the order's.
test('a second answer to a health check is not passed on as that to an order', async () => {
  let check: ScriptedRequest | undefined
  await withTarget((request, socket) => {
    check ??= request
    socket.write(formatAnswer(check))
  }, async ({ send }) => {
    assert.is(describe(await send('/health', { method: 'GET', idempotent: true })), '200 answer to /health')
    assert.is(describe(await send('/order')), 'lost')
  })
})

// The id belongs to one sending: a caller's header of that name must not stand beside it, nor reach the caller.
test('the id of a sending replaces a header of that name and stays between host and target', async () => {
  await withTarget((request, socket) => { socket.write(formatAnswer(request)) }, async ({ target, send }) => {
    const reply = await send('/1', { headers: [{ name: 'Almondrelay-Send-Id', value: 'of-the-caller' }] })
    assert.equal(reply.kind === 'answered' ? reply.headers : [], [])
    const ids = target.requests[0]?.headers.get(HeaderName.sendId)
    assert.is(ids?.length, 1)
    assert.is.not(ids?.[0], 'of-the-caller')
  })
})

interface PlainForm {
  name: string
  method: 'GET' | 'HEAD'
  /** The answer's bytes before and after the line with the id. */
  parts: [string, string]
  reply: string
  /** Connections for five requests; undici closes each one after a HEAD request. */
  connections: number
}

const PLAIN_FORMS: PlainForm[] = [
  { name: 'to a HEAD request', method: 'HEAD', parts: ['HTTP/1.1 200 OK\r\nconnection: keep-alive\r\ncontent-length: 500\r\n', '\r\n'], reply: '200 ', connections: 5 },
  { name: 'with status 204', method: 'GET', parts: ['HTTP/1.1 204 No Content\r\n', '\r\n'], reply: '204 ', connections: 1 },
  { name: 'with status 304', method: 'GET', parts: ['HTTP/1.1 304 Not Modified\r\n', '\r\n'], reply: '304 ', connections: 1 },
  { name: 'after interim answers', method: 'GET', parts: ['HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n', '\r\nbody'], reply: '200 body', connections: 1 },
  { name: 'in chunks', method: 'GET', parts: ['HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n', '\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n'], reply: '200 body', connections: 1 },
  { name: 'with trailers', method: 'GET', parts: ['HTTP/1.1 200 OK\r\ntrailer: almondrelay-send-id\r\ntransfer-encoding: chunked\r\n', '\r\n4\r\nbody\r\n0\r\nalmondrelay-send-id: other\r\n\r\n'], reply: '200 body', connections: 1 }
]

// The check of the id must not fail an answer that has no body, comes in parts or follows an interim one, nor cost its
// target a connection.
for (const { name, method, parts, reply, connections } of PLAIN_FORMS) {
  test(`an answer ${name} is passed on and costs no connection`, async () => {
    await withTarget((request, socket) => {
      socket.write(parts.join(`almondrelay-send-id: ${request.headers.get(HeaderName.sendId)?.join(', ') ?? ''}\r\n`))
    }, async ({ target, send }) => {
      for (let count = 0; count < 5; count += 1) assert.is(describe(await send('/', { method, idempotent: true })), reply)
      assert.is(target.connections, connections)
    })
  })
}

test.run()
