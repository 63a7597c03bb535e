import { createServer, type Socket } from 'node:net'

type Script = (socket: Socket, requestNumber: number) => void

/** Starts a TCP server on loopback that calls the script with the socket for each request it reads. Resolves with the port. */
export async function startScriptedTarget (script: Script, signal: AbortSignal): Promise<number> {
  const server = createServer((socket) => {
    let requests = 0
    socket.on('error', () => { socket.destroy() })
    socket.on('data', (bytes) => {
      if (!bytes.toString().includes('\r\n\r\n')) return
      requests += 1
      script(socket, requests)
    })
    signal.addEventListener('abort', () => { socket.destroy() })
  })
  signal.addEventListener('abort', () => { server.close() })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = server.address()
  if (address === null || typeof address === 'string') throw new Error('server listens on no port')
  return address.port
}
