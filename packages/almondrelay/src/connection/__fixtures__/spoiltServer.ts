import { createServer, type AddressInfo, type Server } from 'node:net'

/** Server on loopback that answers whatever it gets with the same bytes, and ends the connection. */
export class SpoiltServer {
  private constructor (private readonly server: Server) {}

  /** @param answer one character a byte */
  static async start (answer: string): Promise<SpoiltServer> {
    const server = createServer((socket) => {
      socket.on('error', () => { socket.destroy() })
      socket.once('data', () => { socket.end(Buffer.from(answer, 'latin1')) })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return new SpoiltServer(server)
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  close (): void {
    this.server.close()
  }
}
