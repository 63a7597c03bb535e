import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTarget } from '../../request/__fixtures__/makeTarget.js'
import { makeRequest } from '../__fixtures__/makeRequest.js'
import { PlainTargetCodec } from '../__fixtures__/plainTargetCodec.js'
import { startScriptedTarget } from '../__fixtures__/scriptedTarget.js'
import { MessageMemory } from '../messageMemory.js'
import { ConnectFailure } from '../connectFailure.js'
import { OpenCause } from '../openCause.js'
import type { TargetConnection } from '../targetConnection.js'
import { TargetPool } from '../targetPool.js'

const test = suite('TargetPool')
const codec = new PlainTargetCodec()
const ANSWER = 'HTTP/1.1 200 OK\r\nid: r1\r\nsigned: yes\r\nkeep: 10000\r\ncontent-length: 2\r\n\r\nok'
let owner = new AbortController()

const open = async (port: number): Promise<{ pool: TargetPool, connection: TargetConnection }> => {
  const pool = new TargetPool({ codec, getNow: () => 0, memory: new MessageMemory(Infinity), observeUnsound: () => undefined, observeStray: () => undefined }, { countOpened: () => undefined, observeConnect: () => undefined, observeFailure: () => undefined })
  const opened = await pool.acquire(makeTarget({ port }).entry, 1_000, 'r1')
  if (opened.kind === 'failed') throw new Error(opened.failure)
  return { pool, connection: opened.connection }
}

const waitFor = async (isDone: () => boolean): Promise<void> => {
  while (!isDone()) await new Promise((resolve) => { setTimeout(resolve, 5) })
}

test.before.each(() => { owner = new AbortController() })
test.after.each(() => { owner.abort() })

// A target restarts while a caller waits for its answer. The process that was running the request has exited; without an error
// the caller would wait until its deadline, although another target could answer.
test('requests to an incarnation that has exited fail as broken at once', async () => {
  const port = await startScriptedTarget(() => undefined, owner.signal)
  const { pool, connection } = await open(port)
  const waiting = connection.exchange(makeRequest(), codec.encodeHead(makeRequest(), 't', 100))
  pool.closeAll('target was started again')
  assert.equal(await waiting, { kind: 'broken', reason: 'target was started again' })
  assert.equal(await pool.acquire(makeTarget({ port }).entry, 1_000, 'r1'), { kind: 'failed', failure: ConnectFailure.targetLeft })
})

// A target leaves while it is running a request. Its answer is passed on, but its connection stayed open for as long as the target
// kept it, and used up one of the few thousand connections that a host may have.
test('a connection that is busy when its target leaves closes after the answer', async () => {
  let finish = (): void => undefined
  const port = await startScriptedTarget((socket) => { finish = () => { socket.write(ANSWER) } }, owner.signal)
  const { pool, connection } = await open(port)
  const waiting = connection.exchange(makeRequest(), codec.encodeHead(makeRequest(), 't', 100))
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  pool.closeWhenFree()
  assert.not(connection.isClosed)
  finish()
  assert.is((await waiting).kind, 'answered')
  assert.ok(connection.isClosed)
})

// Guards against a late second answer to the first sending of a request that is taken for the answer to the next sending.
test('a request that was answered on a connection goes by another one when it is sent again', async () => {
  const port = await startScriptedTarget((socket) => { socket.write(ANSWER) }, owner.signal)
  const pool = new TargetPool({ codec, getNow: () => 0, memory: new MessageMemory(Infinity), observeUnsound: () => undefined, observeStray: () => undefined }, { countOpened: () => undefined, observeConnect: () => undefined, observeFailure: () => undefined })
  const acquire = async (requestId: string): Promise<TargetConnection> => {
    const opened = await pool.acquire(makeTarget({ port }).entry, 1_000, requestId)
    if (opened.kind === 'failed') throw new Error(opened.failure)
    return opened.connection
  }
  const first = await acquire('r1')
  await first.exchange(makeRequest(), codec.encodeHead(makeRequest(), 't', 100))
  assert.is(await acquire('r2'), first)
  first.release()
  assert.is.not(await acquire('r1'), first)
  assert.ok(first.isClosed)
  pool.closeAll('test')
})

// Guards against a metric that can't tell a target that closes connections from a host that gives them up too soon.
test('new connections are counted by cause', async () => {
  let isSilent = false
  let requests = 0
  const sockets: Socket[] = []
  const port = await startScriptedTarget((socket) => {
    sockets.push(socket)
    if (!isSilent) socket.write(ANSWER.replace('r1', `r${requests}`))
  }, owner.signal)
  const causes: OpenCause[] = []
  let now = 0
  const pool = new TargetPool({ codec, getNow: () => now, memory: new MessageMemory(Infinity), observeUnsound: () => undefined, observeStray: () => undefined }, { countOpened: (cause) => { causes.push(cause) }, observeConnect: () => undefined, observeFailure: () => undefined })
  const { entry } = makeTarget({ port })
  const exchange = async (): Promise<TargetConnection> => {
    requests += 1
    const request = makeRequest({ id: `r${requests}` })
    const opened = await pool.acquire(entry, 1_000, request.id)
    if (opened.kind === 'failed') throw new Error(opened.failure)
    await opened.connection.exchange(request, codec.encodeHead(request, 't', 100))
    return opened.connection
  }
  const takeCauses = (): OpenCause[] => causes.splice(0)
  const first = await exchange()
  assert.is(await exchange(), first)
  assert.equal(takeCauses(), [OpenCause.first])
  first.take()
  const second = await exchange()
  assert.equal(takeCauses(), [OpenCause.busy])
  first.close('test')
  now = 9_000
  pool.closeIdle(now)
  assert.not(second.isClosed, 'used 9 s ago, and kept for 9.25 s')
  now = 9_500
  sockets.length = 0
  isSilent = true
  const waiting = exchange()
  await waitFor(() => sockets.length > 0)
  assert.equal(takeCauses(), [OpenCause.idle])
  pool.closeIdle(now)
  sockets.at(-1)?.destroy()
  await waiting
  isSilent = false
  const kept = await exchange()
  assert.equal(takeCauses(), [OpenCause.failure])
  sockets.at(-1)?.end()
  await waitFor(() => kept.isClosed)
  await exchange()
  assert.equal(takeCauses(), [OpenCause.closed])
  now = 30_000
  pool.closeIdle(now)
  await exchange()
  assert.equal(takeCauses(), [OpenCause.idle])
  await pool.probe(entry, 1_000)
  assert.equal(takeCauses(), [OpenCause.probe])
})

test.run()
