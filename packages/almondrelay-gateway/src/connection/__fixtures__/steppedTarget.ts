import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import { createServer, type Socket } from 'node:net'
import { resetSocket } from './resetSocket.js'

const SOCKETS = 'net.client.socket'
/** Turns of the event loop after which bytes that were not read count as lost; on loopback they take a few. */
const MAX_TURNS = 200_000

const waitForTurn = async (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

const waitUntil = async (isDone: () => boolean, what: string): Promise<void> => {
  for (let turn = 0; !isDone(); turn += 1) {
    if (turn === MAX_TURNS) throw new Error(`waited in vain until ${what}`)
    await waitForTurn()
  }
}

/** The two ends of the newest connection to a stepped target. */
interface Ends {
  client: Socket
  server: Socket
}

/** Target on loopback that writes what it is told. Each write returns once the other end has read it, or is closed. */
export class SteppedTarget {
  private readonly accepted = new Map<number, Socket>()
  private newestClient: Socket | undefined
  private readonly observeClient = (message: unknown): void => { this.newestClient = (message as { socket: Socket }).socket }
  private readonly server = createServer((socket) => {
    socket.setNoDelay(true)
    socket.on('error', () => { socket.destroy() })
    socket.resume()
    this.accepted.set(socket.remotePort ?? 0, socket)
  })

  async listen (): Promise<number> {
    subscribe(SOCKETS, this.observeClient)
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    const address = this.server.address()
    if (address === null || typeof address === 'string') throw new Error('server listens on no port')
    return address.port
  }

  /** Returns the ends of the connection that was opened last. */
  async waitForConnection (): Promise<Ends> {
    const client = this.newestClient
    const port = client?.localPort
    if (client === undefined || port === undefined) throw new Error('no connection was opened')
    await waitUntil(() => this.accepted.has(port), 'a connection was accepted')
    const server = this.accepted.get(port) as Socket
    this.accepted.delete(port)
    return { client, server }
  }

  /** Writes bytes in pieces; a piece is read before the next one is written. */
  async write ({ client, server }: Ends, text: string, pieces: readonly number[]): Promise<void> {
    const bytes = Buffer.from(text, 'latin1')
    const sizes = [...pieces, bytes.length]
    for (let at = 0, index = 0; at < bytes.length && !client.destroyed && server.writable; index += 1) {
      const piece = bytes.subarray(at, at + (sizes[index] as number))
      at += piece.length
      const readBefore = client.bytesRead
      server.write(piece)
      await waitUntil(() => client.destroyed || client.bytesRead >= readBefore + piece.length, 'bytes were read')
    }
  }

  /** Ends the connection in the ordinary way or by a reset. */
  async finish ({ client, server }: Ends, isReset: boolean): Promise<void> {
    if (client.destroyed) return
    if (isReset) resetSocket(server)
    else server.end()
    await waitUntil(() => client.destroyed, 'an end was read')
  }

  async close (): Promise<void> {
    unsubscribe(SOCKETS, this.observeClient)
    await new Promise<void>((resolve) => { this.server.close(() => { resolve() }) })
  }
}
