import { create, toBinary } from '@bufbuild/protobuf'
import { CarryRequestSchema } from 'almondrelay-protocol'
import { request } from 'node:http'
import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { startScriptedTarget } from '../../../connection/__fixtures__/scriptedTarget.js'
import { PeerReach } from '../../links/peerReach.js'
import { CarrierRig } from '../__fixtures__/carrierRig.js'

const test = suite('attempts by way of another host')
const ANSWER = 'HTTP/1.1 200 OK\r\nid: r1\r\nsigned: yes\r\nkeep: 10000\r\ncontent-length: 2\r\n\r\nok'
const ALL_PATHS = ['/almondrelay.peer.v1.CarrierService/Carry', '/almondrelay.peer.v1.CarrierService/CheckTarget', '/']
let owner = new AbortController()
let rig: CarrierRig | undefined
let heads: string[] = []

const start = async (handleRequest: (write: (bytes: string) => void, close: () => void) => void = (write) => { write(ANSWER) }, originIp?: string): Promise<CarrierRig> => {
  const port = await startScriptedTarget((socket) => { handleRequest((bytes) => { socket.write(bytes) }, () => { socket.destroy() }) }, owner.signal)
  rig = await CarrierRig.start(port, originIp)
  return rig
}
const waitUntil = async (check: () => boolean): Promise<void> => {
  for (let poll = 0; poll < 200 && !check(); poll += 1) await new Promise((resolve) => { setTimeout(resolve, 5) })
  assert.ok(check())
}

test.before.each(() => {
  owner = new AbortController()
  heads = []
})
test.after.each(() => {
  rig?.close()
  owner.abort()
})

test('an attempt is answered through another host, with the time that is left', async () => {
  const carrierRig = await start()
  const { encodeHead } = carrierRig.codec
  carrierRig.codec.encodeHead = (...parts) => {
    heads.push(String(parts[2]))
    return encodeHead.apply(carrierRig.codec, parts)
  }
  const { result, carrier } = await carrierRig.carry({ timeoutMs: 900 })
  assert.is(carrier, 'carrier')
  assert.is(result.kind === 'answered' && result.body.toString(), 'ok')
  assert.ok(Number(heads[0]) <= 900 && Number(heads[0]) > 500)
})

// Guards against memory that is used and not counted: a call to another host is a copy of the request.
test('the copy of a body in a call counts while the call lasts, and there is no call without room for it', async () => {
  let heldWhileSent = 0
  const carrierRig = await start()
  const { originBodies } = carrierRig
  const { result } = await carrierRig.carry({ body: Buffer.alloc(20_000), handleSend: () => { heldWhileSent = originBodies.heldBytes } })
  assert.is(result.kind, 'answered')
  assert.equal([heldWhileSent, originBodies.heldBytes], [20_000, 0])
  const refused = await carrierRig.carry({ body: Buffer.alloc(1_000_001) })
  assert.is(refused.result.kind, 'not-sent')
  assert.is(originBodies.heldBytes, 0)
})

// Guards against a refusal "not run" of a request that a carrier may have sent.
test('an attempt whose answer is lost between the hosts may have run, and is not blamed on the target', async () => {
  const carrierRig = await start(() => { rig?.stop.abort() })
  const { result, isCarrierFault } = await carrierRig.carry()
  assert.is(result.kind, 'broken')
  assert.ok(isCarrierFault)
})

test('an attempt whose answer the target loses may have run, and the carrier remembers the request', async () => {
  const carrierRig = await start((_, close) => { close() })
  const { result, isCarrierFault } = await carrierRig.carry()
  assert.is(result.kind, 'broken')
  assert.not(isCarrierFault)
  assert.is(carrierRig.unanswered.length, 1)
})

// Guards against work at a target for a caller who has left.
test('an attempt that its host gives up is given up by the carrier', async () => {
  let isClosed = false
  const port = await startScriptedTarget((socket) => { socket.on('close', () => { isClosed = true }) }, owner.signal)
  rig = await CarrierRig.start(port)
  const abortController = new AbortController()
  const outcome = rig.carry({ signal: abortController.signal })
  await waitUntil(() => rig?.carried === 1)
  await new Promise((resolve) => { setTimeout(resolve, 30) })
  abortController.abort()
  assert.is((await outcome).result.kind, 'broken')
  await waitUntil(() => isClosed)
})

// Guards against a new connection to the target for each attempt: the end of a call's answer counted as giving up its attempt.
test('attempts that follow one another share a connection to the target', async () => {
  const sockets = new Set<unknown>()
  let requests = 0
  const port = await startScriptedTarget((socket) => {
    sockets.add(socket)
    requests += 1
    socket.write(ANSWER.replace('r1', `r${requests}`))
  }, owner.signal)
  rig = await CarrierRig.start(port)
  for (let count = 1; count <= 5; count += 1) {
    assert.is((await rig.carry({ id: `r${count}` })).result.kind, 'answered')
    await new Promise((resolve) => { setTimeout(resolve, 5) })
  }
  assert.is(sockets.size, 1)
})

// Guards against a request that is reset because another host gave up reading the answer to an attempt that had the connection before.
test('an answer that its host gives up to read does not end the next request on the connection to the target', async () => {
  const body = 'x'.repeat(12_000_000)
  let requests = 0
  let answerSecond: () => void = () => undefined
  const sockets = new Set<unknown>()
  const port = await startScriptedTarget((socket) => {
    sockets.add(socket)
    requests += 1
    if (requests === 1) socket.write(ANSWER.replace('length: 2', `length: ${body.length}`).slice(0, -2) + body)
    else answerSecond = () => { socket.write(ANSWER.replace('r1', 'r2')) }
  }, owner.signal)
  rig = await CarrierRig.start(port)
  rig.memory.hold = () => true
  const reader = connect(rig.carrierPort, '127.0.0.1')
  const message = toBinary(CarryRequestSchema, create(CarryRequestSchema, { host: 'origin', target: rig.originTarget.entry.id, targetHash: rig.originTarget.incarnationHash, requestId: 'r1', method: 'GET', url: '/', remainingMs: 5_000, fingerprint: '0123456789abcdef0123456789abcdef' }))
  reader.write(`POST ${ALL_PATHS[0]} HTTP/1.1\r\nHost: a\r\nContent-Type: application/proto\r\nContent-Length: ${message.byteLength}\r\n\r\n`)
  reader.write(message)
  await new Promise((resolve) => { reader.once('readable', resolve) })
  const second = rig.carry({ id: 'r2' })
  await waitUntil(() => requests === 2)
  assert.is(sockets.size, 1)
  reader.destroy()
  await new Promise((resolve) => { setTimeout(resolve, 30) })
  answerSecond()
  assert.equal((await second).result.kind, 'answered')
})

// Guards against promises that hold on the direct way only: departures, evacuations, pauses, quarantine, time that is up.
test('the carrier refuses what it knows better, and says that it sent nothing', async () => {
  const carrierRig = await start()
  carrierRig.isClosed = true
  assert.is((await carrierRig.carry()).result.kind, 'not-sent')
  carrierRig.isClosed = false
  carrierRig.isHeldBack = true
  assert.equal((await carrierRig.carry()).result, { kind: 'not-sent', reason: 'quarantined' })
  assert.is((await carrierRig.carry({ isTrial: true })).result.kind, 'answered')
  carrierRig.isHeldBack = false
  assert.equal((await carrierRig.carry({ timeoutMs: 0 })).result, { kind: 'not-sent', reason: 'no time left before the request was sent' })
  carrierRig.announcements.pauses.observe(carrierRig.carrierTarget, 1_000, undefined, performance.now())
  assert.equal((await carrierRig.carry()).result, { kind: 'not-sent', reason: 'the target asked for a pause' })
  carrierRig.carrierTarget.markLeaving()
  assert.equal((await carrierRig.carry()).result, { kind: 'not-sent', reason: 'the target takes no new requests' })
})

// Guards against chains of hosts, and against a host that serves others while it sheds requests of its own callers.
test('a host that has lost the link too, is stopping or has no room is not asked again for a while', async () => {
  for (const change of [(each: CarrierRig) => { each.isLostAtCarrier = true }, (each: CarrierRig) => { each.isLeaving = true }, (each: CarrierRig) => { each.load.observeDelay(1_000) }, (each: CarrierRig) => { each.memory.hold(900_000) }]) {
    rig?.close()
    const carrierRig = await start()
    change(carrierRig)
    assert.is((await carrierRig.carry()).result.kind, 'not-sent')
    assert.not(carrierRig.client.hasCarrier(carrierRig.originTarget, [], performance.now()))
  }
})

// Guards against hosts that are killed for their memory while large answers pass through them.
test('answers count in the memory of both hosts while they pass, and an answer without room is lost', async () => {
  for (const [bytes, kind] of [[50_000, 'answered'], [200_000, 'broken']] as const) {
    rig?.close()
    const carrierRig = await start((write) => { write(`HTTP/1.1 200 OK\r\nid: r1\r\nsigned: yes\r\nkeep: 10000\r\ncontent-length: ${bytes}\r\n\r\n${'x'.repeat(bytes)}`) })
    let mostHeld = 0
    for (const memory of [carrierRig.memory, carrierRig.originMemory]) {
      const { hold } = memory
      memory.hold = (held) => {
        const hasRoom = hold.call(memory, held)
        mostHeld = Math.max(mostHeld, memory.heldBytes)
        return hasRoom
      }
    }
    assert.is((await carrierRig.carry()).result.kind, kind)
    assert.ok(mostHeld >= 50_000)
    await waitUntil(() => carrierRig.memory.heldBytes === 0 && carrierRig.originMemory.heldBytes === 0)
  }
})

test('an attempt goes through no host of a region that is not allowed', async () => {
  const carrierRig = await start()
  assert.is((await carrierRig.carry({ allowedRegions: ['wlg'] })).carrier, undefined)
})

test('nothing was sent if the other host does not listen, as one of an older build', async () => {
  const carrierRig = await start()
  carrierRig.stop.abort()
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  let sends = 0
  assert.is((await carrierRig.carry({ handleSend: () => { sends += 1 } })).result.kind, 'not-sent')
  assert.is(sends, 0)
})

// Guards against a process that ends because a host's entry has an address that can't be connected to.
test('nothing was sent if the address of the other host is none', async () => {
  const carrierRig = await start()
  carrierRig.carrier.peerPort = 70_000
  assert.is((await carrierRig.carry()).result.kind, 'not-sent')
  assert.is(await carrierRig.client.askPeers(carrierRig.originTarget), PeerReach.none)
})

// Guards against a host that sends anybody's requests to its targets, or to any address.
test('calls from an address that is no host\'s are refused, and so is whatever is no call', async () => {
  const carrierRig = await start(undefined, '127.0.0.9')
  assert.is((await carrierRig.carry()).result.kind, 'not-sent')
  for (const path of ALL_PATHS) {
    const status = await new Promise((resolve) => {
      request({ host: '127.0.0.1', port: carrierRig.carrierPort, path, method: 'POST', headers: { 'Content-Type': 'application/proto' } }, (response) => {
        response.resume()
        resolve(response.statusCode)
      }).end('no message')
    })
    assert.is(status, 400)
  }
})

test('only targets that the carrier knows, in the same incarnation, get requests', async () => {
  const carrierRig = await start()
  const { entry } = carrierRig.originTarget
  const stranger = Object.assign(Object.create(Object.getPrototypeOf(carrierRig.originTarget) as object) as object, carrierRig.originTarget, { incarnationHash: 1, entry })
  Object.assign(carrierRig, { originTarget: stranger })
  const { result } = await carrierRig.carry()
  assert.is(result.kind === 'not-sent' && result.reason, 'carrier could not carry it: target not known here')
})

// Guards against a status of Node's own, which the other host would take for the refusal of a call that is running.
test('bytes that are no call close their connection without an answer', async () => {
  const { carrierPort } = await start()
  const socket = connect(carrierPort, '127.0.0.1')
  let text = ''
  socket.on('data', (bytes) => { text += bytes.toString() })
  socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n')
  await new Promise((resolve) => { socket.once('close', resolve) })
  assert.is(text, '')
})

// Guards against bodies that count as held for ever, because the handling of their calls failed.
test('the body of a call whose handling fails is released', async () => {
  const carrierRig = await start()
  Object.defineProperty(carrierRig.load, 'isShedding', { get: () => { throw new Error('handling failed') } })
  const { result } = await carrierRig.carry()
  assert.is(result.kind, 'broken')
  assert.is(carrierRig.bodies.heldBytes, 0)
})

test.run()
