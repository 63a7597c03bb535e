import { createServer, type AddressInfo, type Socket } from 'node:net'

/** Milliseconds after which the kernel holds what was written to a connection: nothing is asserted of them. */
const WRITE_TIME_MS = 100

interface UnreadingServer {
  port: number
  /** Resolves once a connection is open and the bytes written to it had time to reach the kernel. */
  waitUntilHeld: () => Promise<void>
  /** Reads the connection to its end or reset. Resolves with the number of bytes read. */
  readToEnd: () => Promise<number>
}

/**
 * Starts a server on loopback that leaves the bytes of its connection in the kernels of both sides, as a link does that holds them back.
 *
 * @param greeting written to the connection at its first byte
 */
export async function startUnreadingServer (signal: AbortSignal, greeting = ''): Promise<UnreadingServer> {
  const server = createServer({ pauseOnConnect: true })
  const opened = new Promise<Socket>((resolve) => {
    server.once('connection', (socket: Socket) => {
      socket.on('error', () => undefined)
      socket.write(greeting)
      signal.addEventListener('abort', () => { socket.destroy() })
      resolve(socket)
    })
  })
  signal.addEventListener('abort', () => { server.close() })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const waitUntilHeld = async (): Promise<void> => {
    await opened
    await sleep(WRITE_TIME_MS)
  }
  const readToEnd = async (): Promise<number> => {
    const socket = await opened
    await sleep(WRITE_TIME_MS)
    const closed = new Promise((resolve) => { socket.once('close', resolve) })
    let bytes = 0
    socket.on('data', (piece: Buffer) => { bytes += piece.length })
    socket.resume()
    await closed
    return bytes
  }
  return { port: (server.address() as AddressInfo).port, waitUntilHeld, readToEnd }
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })
