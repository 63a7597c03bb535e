import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

/** Free addresses on 127.0.0.1, all different; each was open for a moment and is closed again. */
export async function findFreeAddresses (count: number): Promise<string[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'))
  await Promise.all(servers.map((server) => once(server, 'listening')))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports.map((port) => `127.0.0.1:${port}`)
}
