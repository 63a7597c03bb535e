import { setMaxListeners } from 'node:events'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { AttemptResult } from '../../request/attemptResult.js'
import { makeRequest } from '../__fixtures__/makeRequest.js'
import { PlainTargetCodec } from '../__fixtures__/plainTargetCodec.js'
import { startScriptedTarget } from '../__fixtures__/scriptedTarget.js'
import { MessageMemory } from '../messageMemory.js'
import { TargetConnection } from '../targetConnection.js'

const test = suite('repeated answers')
const codec = new PlainTargetCodec()
const FIRST = 'HTTP/1.1 200 OK\r\nid: r1\r\nkeep: 10000\r\ncontent-length: 5\r\n\r\nfirst'
const FAILURE = 'HTTP/1.1 503 Service Unavailable\r\nid: r2\r\nkeep: 10000\r\ncontent-length: 5\r\n\r\nlater'
let owner = new AbortController()
let memory = new MessageMemory(Infinity)

const open = async (port: number): Promise<TargetConnection> => {
  const opened = await TargetConnection.open('127.0.0.1', port, 1_000, { codec, getNow: () => 0, memory, observeUnsound: () => undefined, observeStray: () => undefined }, () => undefined)
  if (opened.kind === 'failed') throw new Error(opened.failure)
  return opened.connection
}

const send = (connection: TargetConnection, id: string, method = 'GET'): Promise<AttemptResult> => {
  connection.take()
  const request = makeRequest({ id, method })
  return connection.exchange(request, codec.encodeHead(request, 't', 100))
}

/** Sends two requests on one connection to a target that answers the first one with `FIRST`; resolves with the result of the second one. */
const sendTwo = async (written: string, method = 'GET'): Promise<AttemptResult> => {
  const port = await startScriptedTarget((socket, request) => { socket.write(request === 1 ? FIRST : written) }, owner.signal)
  const connection = await open(port)
  assert.is((await send(connection, 'r1')).kind, 'answered')
  const result = send(connection, 'r2', method)
  // A request that waits in vain fails its test in place of holding up the run.
  for (let look = 0; look < 500 && connection.isBusy; look += 1) await new Promise((resolve) => { setTimeout(resolve, look < 100 ? 0 : 5) })
  if (connection.isBusy) connection.close('waited in vain')
  return result
}

const describe = (result: AttemptResult): string => result.kind === 'answered' ? `${result.head.status} ${result.body.toString()}` : result.kind

test.before.each(() => {
  owner = new AbortController()
  // Each of the many targets of a test listens for its end.
  setMaxListeners(0, owner.signal)
  memory = new MessageMemory(Infinity)
})
test.after.each(() => { owner.abort() })

const CUT = [
  { name: 'id first', text: FIRST },
  { name: 'id last', text: 'HTTP/1.1 200 OK\r\nX-Note: a, b\r\nkeep: 10000\r\ncontent-length: 5\r\nid: r1\r\n\r\nfirst' },
  { name: 'no body', text: 'HTTP/1.1 204 No Content\r\nX-Note: a, b\r\nid: r1\r\n\r\n' },
  { name: 'chunks and a trailer', text: 'HTTP/1.1 200 OK\r\nX-Note: a, b\r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n5;part="a"\r\nfirst\r\n0\r\nX-Sum: 7\r\n\r\n' }
]

// Guards against a success where the target had failed: it cut a second answer within its head, and the failure that followed was read as
// a part of that head, so that the status of the one was passed on with the id and the body of the other.
for (const { name, text } of CUT) {
  test(`a failure behind a repeated answer that was cut anywhere is passed on as it is or not at all (${name})`, async () => {
    for (let cut = 1; cut <= text.length; cut += 1) {
      assert.ok(['503 later', 'broken'].includes(describe(await sendTwo(text.slice(0, cut) + FAILURE))), JSON.stringify(text.slice(0, cut)))
    }
  })
}

// Guards against a request that waits until its deadline: its answer without a body counted as the trailer of a repeated one that was cut.
test('an answer that counts as a trailer of a cut answer ends its request as broken', async () => {
  const text = CUT[3]?.text ?? ''
  const result = await sendTwo(`${text.slice(0, text.indexOf('7'))}HTTP/1.1 204 No Content\r\nid: r2\r\n\r\n`)
  assert.match(result.kind === 'broken' ? result.reason : result.kind, 'unsound answer')
})

// Guards against a body that is read as the next answer because the pending request is a HEAD request.
test('a repeated answer with a body is passed over before the answer to a HEAD request', async () => {
  assert.is(describe(await sendTwo(FIRST + FAILURE.replace('later', ''), 'HEAD')), '503 ')
})

// Guards against bytes that count as held for ever, until the host refuses all requests: those that arrive together with the last answer
// of a connection were still read after it was closed.
test('bytes behind the last answer of a connection are not held', async () => {
  const port = await startScriptedTarget((socket) => { socket.write(`${FIRST.replace('keep: 10000', 'connection: close')}${FIRST.slice(0, -2)}`) }, owner.signal)
  const connection = await open(port)
  assert.is((await send(connection, 'r1')).kind, 'answered')
  assert.ok(connection.isClosed)
  assert.is(memory.heldBytes, 0)
})

test.run()
