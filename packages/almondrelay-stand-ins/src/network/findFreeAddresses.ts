import { once } from 'node:events'
import { createServer, type Server } from 'node:net'

/** Below the range from which the kernel takes the local ports of outgoing connections (32768 upwards by default). */
const FIRST_PORT = 12_000
const LAST_PORT = 32_000

let nextPort = FIRST_PORT + (process.pid * 97) % (LAST_PORT - FIRST_PORT)

/**
 * Free addresses on 127.0.0.1, all different; each was open for a moment and is closed again.
 *
 * Failure: between that moment and its use an outgoing connection takes the port, and a host can't
 * listen (seen once with ten hosts and a load). Ports that the kernel gives to nobody can't be taken so.
 */
export async function findFreeAddresses (count: number): Promise<string[]> {
  const servers: Server[] = []
  const ports: number[] = []
  while (ports.length < count) {
    const port = takeNextPort()
    const server = await tryListen(port)
    if (server === undefined) continue
    servers.push(server)
    ports.push(port)
  }
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports.map((port) => `127.0.0.1:${port}`)
}

function takeNextPort (): number {
  nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1
  return nextPort
}

async function tryListen (port: number): Promise<Server | undefined> {
  const server = createServer().listen(port, '127.0.0.1')
  try {
    await once(server, 'listening')
    return server
  } catch {
    return undefined
  }
}
