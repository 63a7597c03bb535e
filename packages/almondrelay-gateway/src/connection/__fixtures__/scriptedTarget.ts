import { createServer, type Socket } from 'node:net'

type Script = (socket: Socket, requestNumber: number) => void

/** A listener on loopback that answers the n-th request it reads by a script of raw bytes. */
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
  if (address === null || typeof address === 'string') throw new Error('no port')
  return address.port
}
