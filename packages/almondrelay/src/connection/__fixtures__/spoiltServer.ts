import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Server on loopback that answers the first bytes of each connection with the same bytes. */
export class SpoiltServer {
  private constructor (private readonly server: Server, private readonly sockets: ReadonlySet<Socket>) {}

  /** @param answer one character a byte */
  static async start (answer: string): Promise<SpoiltServer> {
    const sockets = new Set<Socket>()
    const server = createServer((socket) => {
      sockets.add(socket)
      socket.on('error', () => { socket.destroy() })
      socket.once('data', () => { socket.write(Buffer.from(answer, 'latin1')) })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return new SpoiltServer(server, sockets)
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}
