import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { ScriptedRequest } from './scriptedRequest.js'

/** Writes what the target sends for a request; the next request on the connection is handled once it has resolved. */
type Script = (request: ScriptedRequest, socket: Socket) => Promise<void> | void

const HEAD_END = '\r\n\r\n'

/** A target on a loopback port that sends what its script writes, byte for byte. */
export class ScriptedTarget {
  readonly requests: ScriptedRequest[] = []
  /** Connections accepted since the start. */
  connections = 0
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  private constructor (private readonly script: Script) {
    this.server = createServer({ noDelay: true }, (socket) => { this.accept(socket) })
  }

  static async start (script: Script): Promise<ScriptedTarget> {
    const target = new ScriptedTarget(script)
    await new Promise<void>((resolve) => { target.server.listen(0, '127.0.0.1', resolve) })
    return target
  }

  getAddress (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Resolves once the host has closed all connections. */
  async waitUntilUnconnected (): Promise<void> {
    await Promise.all([...this.sockets].map((socket) => new Promise((resolve) => { socket.once('close', resolve) })))
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    this.connections += 1
    this.sockets.add(socket)
    const connection = this.connections
    let text = ''
    let handled = Promise.resolve()
    let count = 0
    socket.on('error', () => {})
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1')
      for (let end = findRequestEnd(text); end !== undefined; end = findRequestEnd(text)) {
        count += 1
        const request = ScriptedRequest.parse(text.slice(0, end), connection, count)
        text = text.slice(end)
        this.requests.push(request)
        handled = handled.then(async () => { await this.script(request, socket) })
      }
    })
  }
}

function findRequestEnd (text: string): number | undefined {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd < 0) return undefined
  const length = Number(/\r\ncontent-length: *(\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0)
  const end = headEnd + HEAD_END.length + length
  return text.length < end ? undefined : end
}
