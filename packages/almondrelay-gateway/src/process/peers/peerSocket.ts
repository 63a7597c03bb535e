import { createSocket, type Socket } from 'node:dgram'

/** The datagram port on which hosts hear each other. */
export class PeerSocket {
  private readonly socket: Socket = createSocket('udp4')

  constructor (private readonly logError: (error: Error) => void) {
    this.socket.on('error', logError)
  }

  /** Opens the port and hands each datagram on until the signal aborts. */
  listen (ip: string, port: number, handleDatagram: (bytes: Uint8Array, ip: string) => void, signal: AbortSignal): Promise<void> {
    this.socket.on('message', (bytes, { address }) => {
      // Thrown out of here, the error would end the process, and the next datagram of this kind the next process.
      try {
        handleDatagram(bytes, address)
      } catch (error) {
        this.logError(error as Error)
      }
    })
    signal.addEventListener('abort', () => { this.socket.close() }, { once: true })
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject)
      this.socket.bind(port, ip, () => {
        this.socket.off('error', reject)
        resolve()
      })
    })
  }

  /** Sends without waiting; a datagram that is lost is replaced by the next one. */
  send (bytes: Uint8Array, ip: string, port: number): void {
    this.socket.send(bytes, port, ip, (error) => { if (error !== null) this.logError(error) })
  }
}
