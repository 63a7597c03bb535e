import { createSocket, type Socket } from 'node:dgram'
import { lookup as lookUpName, type LookupOneOptions } from 'node:dns'
import { isIPv4 } from 'node:net'

/** Passes addresses on as they are: a look-up takes a turn of the event loop for each datagram. */
const lookUpAddress = (hostname: string, options: LookupOneOptions, callback: (error: NodeJS.ErrnoException | null, address: string, family: number) => void): void => {
  if (isIPv4(hostname)) callback(null, hostname, 4)
  else lookUpName(hostname, options, callback)
}

/** The UDP socket through which hosts exchange datagrams. */
export class PeerSocket {
  private readonly socket: Socket = createSocket({ type: 'udp4', lookup: lookUpAddress })

  constructor (private readonly logError: (error: Error) => void) {
    this.socket.on('error', logError)
  }

  /** One function for all datagrams, of which a host sends dozens a second. */
  private readonly handleSent = (error: Error | null): void => { if (error !== null) this.logError(error) }

  /** Binds the port and passes each datagram to the handler until the signal aborts. */
  listen (ip: string, port: number, handleDatagram: (bytes: Uint8Array, ip: string) => void, signal: AbortSignal): Promise<void> {
    this.socket.on('message', (bytes, { address }) => {
      // An uncaught error would end the process; after a restart, the next datagram of this kind would end it again.
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

  /** Sends a datagram without waiting. A lost datagram isn't sent again, as the next report replaces it. */
  send (bytes: Uint8Array, ip: string, port: number): void {
    // An address to which nothing can be sent must not keep the datagram from the other hosts.
    try {
      this.socket.send(bytes, port, ip, this.handleSent)
    } catch (error) {
      this.logError(error as Error)
    }
  }
}
