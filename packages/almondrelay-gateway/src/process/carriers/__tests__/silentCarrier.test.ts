import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PeerReach } from '../../links/peerReach.js'
import { CarrierRig } from '../__fixtures__/carrierRig.js'

const test = suite('a carrier whose process is stopped')
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n'
const NO_PORT = 1
let rig: CarrierRig
let server: Server
const sockets: Socket[] = []
let received = ''
let isResumed = false
/** Milliseconds after which the stand-in acknowledges each call; undefined for never. */
let acknowledgeMs: number | undefined

const sleep = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })
const sendContinue = (socket: Socket): void => { socket.write(CONTINUE) }
const isUsable = (): boolean => rig.client.hasCarrier(rig.originTarget, [], performance.now())
const waitUntil = async (check: () => boolean): Promise<void> => {
  for (let poll = 0; poll < 200 && !check(); poll += 1) await sleep(5)
  assert.ok(check())
}
const wakeProcess = (): void => {
  isResumed = true
  for (const socket of sockets) if (!socket.destroyed) sendContinue(socket)
}

// Stands in for the kernel of a stopped host: accepts connections and bytes, and answers nothing until the process resumes.
test.before.each(async () => {
  rig = await CarrierRig.start(NO_PORT)
  received = ''
  isResumed = false
  acknowledgeMs = undefined
  server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => undefined)
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1')
      if (isResumed) sendContinue(socket)
      else if (acknowledgeMs !== undefined) setTimeout(sendContinue, acknowledgeMs, socket)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  rig.carrier.peerPort = (server.address() as AddressInfo).port
})
test.after.each(() => {
  rig.close()
  for (const socket of sockets.splice(0)) socket.destroy()
  server.close()
})

// Guards against a request whose fate is unknown because its message is in the kernel of a stopped host.
test('nothing of an attempt is written, and the host gets no further attempts', async () => {
  let sends = 0
  const { result } = await rig.carry({ handleSend: () => { sends += 1 } })
  assert.is(result.kind, 'not-sent')
  assert.is(sends, 0)
  assert.match(received, /^POST [^\r]*Carry HTTP/)
  assert.not.match(received, /r1/)
  assert.not(isUsable())
  assert.is(rig.silences, 1)
})

// Guards against a host without carriers for seconds after they have resumed, and against attempts that they send late.
test('the host is used again at once when it resumes, and doesn\'t send what was given up', async () => {
  await rig.carry()
  await waitUntil(() => received.includes('CheckTarget'))
  wakeProcess()
  await waitUntil(isUsable)
  assert.not.match(received, /r1/)
})

// Guards against attempts that are refused because a loaded host takes 300 ms to read its connections.
test('the last host that is left is waited for', async () => {
  acknowledgeMs = 300
  let sends = 0
  void rig.carry({ handleSend: () => { sends += 1 } })
  await waitUntil(() => sends === 1)
  assert.is(rig.silences, 0)
})

// Guards against an attempt that is sent for a caller who has left, when the carrier acknowledges late.
test('an attempt that is given up meanwhile is not written on a late acknowledgement', async () => {
  const abortController = new AbortController()
  const outcome = rig.carry({ signal: abortController.signal })
  await waitUntil(() => received.includes('Carry'))
  abortController.abort()
  wakeProcess()
  assert.is((await outcome).result.kind, 'not-sent')
  assert.not.match(received, /r1/)
  assert.ok(isUsable())
})

test('an attempt that must not be sent any more is not written', async () => {
  acknowledgeMs = 10
  let checks = 0
  const { result } = await rig.carry({ findStopReason: () => (checks++ === 0 ? undefined : 'target left') })
  assert.is(result.kind === 'not-sent' && result.reason, 'target left')
  assert.not.match(received, /r1/)
  assert.ok(isUsable())
})

// Guards against cuts that are found late because hosts which were asked have stopped.
test('a stopped host that is asked for a target is given up soon, and not asked again', async () => {
  assert.is(await rig.client.askPeers(rig.originTarget), PeerReach.none)
  assert.not(isUsable())
  const asked = received
  assert.is(await rig.client.askPeers(rig.originTarget), PeerReach.none)
  assert.is(received.split('CheckTarget').length - asked.split('CheckTarget').length <= 1, true)
})

// Guards against a killed host that counts as stopped: what runs at its address next would not be used.
test('a host that refuses connections after it was stopped is silent no more', async () => {
  await rig.carry()
  assert.ok(rig.client.isSilent('carrier', performance.now()))
  server.close()
  for (const socket of sockets.splice(0)) socket.resetAndDestroy()
  await waitUntil(() => !rig.client.isSilent('carrier', performance.now()))
})

test.run()
