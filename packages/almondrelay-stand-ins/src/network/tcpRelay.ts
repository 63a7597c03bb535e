import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { once } from 'node:events'
import { RelayedConnection } from './relayedConnection.js'
import type { RelayDirection } from './relayDirection.js'

interface TcpRelayOptions {
  /** Where connections are passed on to, as `ip:port`. */
  target: string
  /** Time that each byte takes on its way, each way. */
  delayMs?: number
  signal: AbortSignal
}

/** A TCP relay between two processes, with the faults of a network. */
export class TcpRelay {
  private readonly connections = new Set<RelayedConnection>()
  private server: Server | undefined
  private port = 0
  private isPartitioned = false
  private delayMs: number

  private constructor (private readonly target: string, delayMs: number) {
    this.delayMs = delayMs
  }

  static async start ({ target, delayMs = 0, signal }: TcpRelayOptions): Promise<TcpRelay> {
    const relay = new TcpRelay(target, delayMs)
    await relay.open()
    signal.addEventListener('abort', () => { relay.close() }, { once: true })
    return relay
  }

  /** Connect here, `ip:port`, in place of the target. */
  getAddress (): string {
    return `127.0.0.1:${this.port}`
  }

  /** Passes new connections on again. Connections that were silenced stay silent, as in a network that lost track of them. */
  async pass (): Promise<void> {
    this.isPartitioned = false
    if (this.server === undefined) await this.open()
  }

  /** Resets open connections and refuses new ones. */
  injectCut (): void {
    this.close()
  }

  /** Swallows the bytes and the ends of the connections that are open now; new ones work. */
  injectSilence (direction: RelayDirection): void {
    for (const connection of this.connections) connection.injectSilence(direction)
  }

  /** Swallows everything: open connections go silent, new ones open and get no answer. */
  injectPartition (): void {
    this.isPartitioned = true
    this.injectSilence('both')
  }

  setDelay (delayMs: number): void {
    this.delayMs = delayMs
    for (const connection of this.connections) connection.setDelay(delayMs)
  }

  countConnections (): number {
    return this.connections.size
  }

  private async open (): Promise<void> {
    const server = createServer({ allowHalfOpen: true }, (socket) => { this.accept(socket) })
    server.listen(this.port, '127.0.0.1')
    await once(server, 'listening')
    this.port = (server.address() as AddressInfo).port
    this.server = server
  }

  private close (): void {
    this.server?.close()
    this.server = undefined
    for (const connection of this.connections) connection.reset()
  }

  private accept (socket: Socket): void {
    const colon = this.target.lastIndexOf(':')
    const upstream = connect({ host: this.target.slice(0, colon), port: Number(this.target.slice(colon + 1)), allowHalfOpen: true })
    const connection = new RelayedConnection(socket, upstream, this.delayMs, () => { this.connections.delete(connection) })
    this.connections.add(connection)
    if (this.isPartitioned) connection.injectSilence('both')
  }
}
