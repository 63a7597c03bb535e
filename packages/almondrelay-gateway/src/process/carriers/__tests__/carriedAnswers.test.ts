import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { CarrierService, CarryResponseSchema, CheckTargetRequestSchema, CheckTargetResponseSchema } from 'almondrelay-protocol'
import { Agent } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { MessageMemory } from '../../../connection/messageMemory.js'
import { CarrierRig } from '../__fixtures__/carrierRig.js'
import { describeMethod } from '../describeMethod.js'
import { PeerCallFailure } from '../peerCallFailure.js'
import type { PeerReply } from '../peerReply.js'
import { sendPeerCall } from '../sendPeerCall.js'

const test = suite('answers that another host carries')
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n'
const HEAD_END = '\r\n\r\n'
const NO_PORT = 1
let rig: CarrierRig
/** Port of the rig's own carrier, in whose place the stand-in is called. */
let ownPort: number
let server: Server
const sockets: Socket[] = []
/** Writes the stand-in's bytes for a call; calls are numbered from 1 over all connections. */
let answerCall: (socket: Socket, callNumber: number) => void

const sleep = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

const encodeCarried = (headers: string[], status = 200): Buffer => {
  const body = toBinary(CarryResponseSchema, create(CarryResponseSchema, { result: { case: 'answered', value: { status, headers, body: Buffer.from(headers.join(' ')), keepsAlive: true } } }))
  return Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: ${body.byteLength}\r\n\r\n`), body])
}

/** Makes a check that stops an attempt when it is about to be written to the other host. */
const makeSecondStop = (): (() => string | undefined) => {
  let checks = 0
  return () => (checks++ === 0 ? undefined : 'target left')
}

const answerRequest = (id: string): Buffer => encodeCarried(['id', id, 'signed', 'yes'])

// Stands in for a host that carries attempts: acknowledges each call and answers it by the test's script.
test.before.each(async () => {
  rig = await CarrierRig.start(NO_PORT)
  let calls = 0
  server = createServer((socket) => {
    sockets.push(socket)
    let received = ''
    let bodyLength: number | undefined
    socket.on('error', () => undefined)
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1')
      const headEnd = received.indexOf(HEAD_END)
      if (bodyLength === undefined && headEnd >= 0) {
        bodyLength = Number(/content-length: (\d+)/i.exec(received)?.[1])
        received = received.slice(headEnd + HEAD_END.length)
        socket.write(CONTINUE)
      }
      if (bodyLength === undefined || received.length < bodyLength) return
      received = received.slice(bodyLength)
      bodyLength = undefined
      calls += 1
      answerCall(socket, calls)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  ownPort = rig.carrierPort
  rig.carrier.peerPort = (server.address() as AddressInfo).port
})
test.after.each(() => {
  rig.close()
  for (const socket of sockets.splice(0)) socket.destroy()
  server.close()
})

// Guards against an answer to another caller's request: on the way back only the order on the connection tied the two together.
test('an answer that names another request, or none, is no answer, and its connection is not used again', async () => {
  for (const headers of [['id', 'r0', 'signed', 'yes'], ['signed', 'yes']]) {
    answerCall = (socket, callNumber) => { socket.write(callNumber % 2 === 1 ? encodeCarried(headers) : answerRequest('r1')) }
    const { result, carrier, isCarrierFault } = await rig.carry()
    assert.is(result.kind, 'broken')
    assert.is(carrier, 'carrier')
    assert.ok(isCarrierFault)
    assert.is((await rig.carry()).result.kind, 'answered')
  }
  assert.is(sockets.length, 3)
})

// Guards against a success for a request whose target failed: the answer of the call before came once more.
test('an answer that comes once more is not taken for that of the next call, nor for that of any later one', async () => {
  answerCall = (socket, callNumber) => {
    if (callNumber === 2) {
      socket.write(answerRequest('r1'))
      setTimeout(() => { socket.write(answerRequest('r2')) }, 10)
    } else socket.write(answerRequest(`r${callNumber}`))
  }
  assert.is((await rig.carry({ id: 'r1' })).result.kind, 'answered')
  assert.is((await rig.carry({ id: 'r2' })).result.kind, 'broken')
  await sleep(20)
  const { result } = await rig.carry({ id: 'r3' })
  assert.is(result.kind === 'answered' && result.head.requestId, 'r3')
})

// Guards against a refusal that becomes a failure on the way: targets name no id where they refuse a request that they can't read.
test('a refusal "not run" with status 400 needs no id', async () => {
  answerCall = (socket) => { socket.write(encodeCarried(['not-run', '1'], 400)) }
  const { result } = await rig.carry()
  assert.is(result.kind === 'answered' && result.head.status, 400)
})

// Guards against the late answer to a call that was given up, taken for that of the next call on its connection.
test('a call that is given up ends its connection, whatever was written of it', async () => {
  answerCall = (socket, callNumber) => { socket.write(answerRequest(`r${callNumber}`)) }
  assert.is((await rig.carry({ id: 'r1' })).result.kind, 'answered')
  const stopped = await rig.carry({ findStopReason: makeSecondStop() })
  assert.is(stopped.result.kind, 'not-sent')
  assert.is(sockets.length, 1)
  assert.is((await rig.carry({ id: 'r2' })).result.kind, 'answered')
  assert.is(sockets.length, 2)
  const giveUp = new AbortController()
  answerCall = (socket) => {
    giveUp.abort()
    setTimeout(() => { socket.write(answerRequest('r3')) }, 10)
  }
  assert.is((await rig.carry({ id: 'r3', signal: giveUp.signal })).result.kind, 'broken')
  answerCall = (socket) => { setTimeout(() => { socket.write(answerRequest('r4')) }, 20) }
  const { result } = await rig.carry({ id: 'r4' })
  assert.is(result.kind === 'answered' && result.head.requestId, 'r4')
  assert.is(sockets.length, 3)
})

// Guards against a connection that goes on after an answer of which only a part was read.
test('an answer without room ends its connection', async () => {
  answerCall = (socket, callNumber) => { socket.write(callNumber === 1 ? encodeCarried(['id', 'r1', 'filler', 'x'.repeat(200_000)]) : answerRequest('r2')) }
  assert.is((await rig.carry({ id: 'r1' })).result.kind, 'broken')
  assert.is((await rig.carry({ id: 'r2' })).result.kind, 'answered')
  assert.is(sockets.length, 2)
})

// Guards against an answer out of turn: a host answers 400 before it has read the whole of a call that is too long.
test('a call that is refused in the middle of its message leaves the next one on its connection its own answer', async () => {
  const agent = new Agent({ keepAlive: true })
  const call = (body: Uint8Array): Promise<PeerReply> => sendPeerCall(agent, { ip: '127.0.0.1', port: ownPort, path: describeMethod(CarrierService.method.checkTarget), body, acknowledgeTimeoutMs: 10_000, handleAcknowledgement: () => undefined, memory: new MessageMemory(Infinity) }, new AbortController().signal)
  const message = toBinary(CheckTargetRequestSchema, create(CheckTargetRequestSchema, { host: 'origin', target: rig.originTarget.entry.id, targetHash: rig.originTarget.incarnationHash }))
  for (let round = 0; round < 5; round += 1) {
    const refused = await call(new Uint8Array(3_000_000))
    assert.is(refused.kind === 'failed' && refused.failure, PeerCallFailure.refused)
    const reply = await call(message)
    assert.is(reply.kind === 'answered' && fromBinary(CheckTargetResponseSchema, reply.body).reached, true)
  }
  agent.destroy()
})

test.run()
