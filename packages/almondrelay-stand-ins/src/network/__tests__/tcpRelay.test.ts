import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { TcpRelay } from '../tcpRelay.js'

/** Runs against a relay before an echo server. */
async function withRelay (run: (relay: TcpRelay, open: () => Promise<Socket>) => Promise<void>): Promise<void> {
  const controller = new AbortController()
  const server = createServer((socket) => socket.on('error', () => {}).pipe(socket)).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const relay = await TcpRelay.start({ target: `127.0.0.1:${(server.address() as AddressInfo).port}`, signal: controller.signal })
  const open = async (): Promise<Socket> => {
    const socket = connect(Number(relay.getAddress().split(':')[1]), '127.0.0.1')
    socket.on('error', () => {})
    await once(socket, 'connect')
    return socket
  }
  await run(relay, open)
  controller.abort()
  server.close()
}

const sendAndRead = async (socket: Socket, text: string): Promise<string> => {
  socket.write(text)
  const [data] = await once(socket, 'data') as [Buffer]
  return data.toString()
}

test('open connections go silent while new ones work', async () => {
  await withRelay(async (relay, open) => {
    const old = await open()
    assert.is(await sendAndRead(old, 'before'), 'before')
    relay.injectSilence('toClient')
    let heard = ''
    old.on('data', (data) => { heard += data.toString() })
    old.write('into silence')
    const fresh = await open()
    assert.is(await sendAndRead(fresh, 'new'), 'new')
    assert.is(await sendAndRead(fresh, 'again'), 'again')
    assert.is(heard, '')
    assert.is(old.destroyed, false)
    old.destroy()
    fresh.destroy()
  })
})

test('a cut resets open connections and refuses new ones until it passes again', async () => {
  await withRelay(async (relay, open) => {
    const old = await open()
    assert.is(await sendAndRead(old, 'before'), 'before')
    relay.injectCut()
    await new Promise((resolve) => old.once('close', resolve))
    assert.is(await open().then(() => 'open', (error: NodeJS.ErrnoException) => error.code), 'ECONNREFUSED')
    await relay.pass()
    const fresh = await open()
    assert.is(await sendAndRead(fresh, 'after'), 'after')
    fresh.destroy()
  })
})

test('bytes keep their order under a delay, and a partition swallows new connections too', async () => {
  await withRelay(async (relay, open) => {
    relay.setDelay(5)
    const socket = await open()
    let heard = ''
    socket.on('data', (data) => { heard += data.toString() })
    for (const part of ['a', 'b', 'c']) socket.write(part)
    while (heard.length < 3) await once(socket, 'data')
    assert.is(heard, 'abc')
    socket.destroy()
    relay.injectPartition()
    const swallowed = await open()
    swallowed.write('x')
    const ended = await Promise.race([once(swallowed, 'data').then(() => 'answered'), new Promise((resolve) => setTimeout(() => { resolve('silent') }, 50))])
    assert.is(ended, 'silent')
    swallowed.destroy()
  })
})

test.run()
