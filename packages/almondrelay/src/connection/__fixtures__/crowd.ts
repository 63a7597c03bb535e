import { connect, type Socket } from 'node:net'

interface CrowdPlan {
  port: number
  connections: number
  /** Bytes that each connection sends ahead. */
  bytesEach: number
  /** Text that each connection sends first; none if absent. */
  start?: string
  /** Text that each connection sends again and again after it. */
  text: string
}

const POLL_INTERVAL_MS = 50
/** Polls in a row without progress after which the process is taken to have read what it will read. */
const QUIET_POLLS = 20
const MAX_POLLS = 400

/** Clients on loopback that send many requests ahead, or parts of requests, and read none of the answers. */
export class Crowd {
  private readonly sockets: Socket[] = []

  private constructor (private readonly plan: CrowdPlan) {}

  /** Connects all clients and resolves once the process under test has read what it will read. */
  static async start (plan: CrowdPlan): Promise<Crowd> {
    const crowd = new Crowd(plan)
    const bytes = Buffer.from((plan.start ?? '') + plan.text.repeat(Math.ceil(plan.bytesEach / plan.text.length))).subarray(0, plan.bytesEach)
    for (let index = 0; index < plan.connections; index += 1) crowd.sockets.push(crowd.open(bytes))
    await crowd.waitUntilQuiet()
    return crowd
  }

  /** Number of clients whose connections the process under test has not closed. */
  countOpen (): number {
    return this.sockets.filter(({ destroyed }) => !destroyed).length
  }

  /** Resets all connections. */
  async leave (): Promise<void> {
    await Promise.all(this.sockets.map(async (socket) => {
      if (socket.closed) return
      const closed = new Promise((resolve) => { socket.once('close', resolve) })
      socket.resetAndDestroy()
      await closed
    }))
  }

  private open (bytes: Buffer): Socket {
    const socket = connect({ host: '127.0.0.1', port: this.plan.port })
    socket.pause()
    socket.on('error', () => { socket.destroy() })
    socket.write(bytes)
    return socket
  }

  private async waitUntilQuiet (): Promise<void> {
    let last = ''
    for (let polls = 0, quiet = 0; polls < MAX_POLLS && quiet < QUIET_POLLS; polls += 1) {
      await new Promise((resolve) => { setTimeout(resolve, POLL_INTERVAL_MS) })
      const state = this.sockets.map(({ bytesWritten, writableLength, destroyed }) => destroyed ? 'closed' : bytesWritten - writableLength).join()
      quiet = state === last ? quiet + 1 : 0
      last = state
    }
  }
}
