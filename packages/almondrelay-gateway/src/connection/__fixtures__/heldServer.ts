import { makeTestGuard } from 'almondrelay/testing'
import { connect, type Socket } from 'node:net'
import { MessageMemory } from '../messageMemory.js'
import type { CallerAnswer } from '../callerAnswer.js'
import { CallerServer } from '../callerServer.js'
import type { ReadFailureReport } from '../readFailureReport.js'
import { TurnQueue } from '../turnQueue.js'

/** What a caller's socket has received. */
interface Received {
  text: string
  isEnded: boolean
}

/** Caller port whose requests are held until the test answers them, in any order. */
export class HeldServer {
  port = 0
  readonly paths: string[] = []
  /** Paths of the requests whose signal reported that the caller disconnected. */
  readonly abortedPaths: string[] = []
  readonly memory = new MessageMemory(Infinity)
  readonly errors: Error[] = []
  readonly readFailures: ReadFailureReport[] = []
  readonly server: CallerServer
  private readonly finishers = new Map<string, (answer: CallerAnswer | Promise<CallerAnswer>) => void>()

  constructor () {
    this.server = new CallerServer((message, left) => new Promise((resolve) => {
      this.paths.push(message.url ?? '')
      left.addEventListener('abort', () => { this.abortedPaths.push(message.url ?? '') })
      this.finishers.set(message.url ?? '', resolve)
    }), { guard: makeTestGuard(), turns: new TurnQueue(() => performance.now()), memory: this.memory, logError: (error) => { this.errors.push(error) }, reportReadFailure: (report) => { this.readFailures.push(report) } })
  }

  /** Starts a server and connects a caller; both end when the signal aborts. */
  static async start (signal?: AbortSignal): Promise<{ held: HeldServer, socket: Socket }> {
    const held = new HeldServer()
    held.port = await held.server.listen('127.0.0.1', 0)
    const socket = connect(held.port, '127.0.0.1')
    signal?.addEventListener('abort', () => {
      socket.destroy()
      held.server.close()
    })
    return { held, socket }
  }

  answer (path: string, text = `answer to ${path};`, headers: string[] = []): void {
    const body = Buffer.from(text)
    this.finishers.get(path)?.({ status: 200, headers: [...headers, 'Content-Length', String(body.length)], body })
  }

  /** Makes the handling of a request fail. */
  abort (path: string): void {
    this.finishers.get(path)?.(Promise.reject(new Error('handling failed')))
  }

  static read (socket: Socket): Received {
    const received = { text: '', isEnded: false }
    socket.on('data', (bytes) => { received.text += bytes.toString() })
    socket.on('close', () => { received.isEnded = true })
    return received
  }

  static async waitFor (check: () => boolean, what: string): Promise<void> {
    for (let look = 0; look < 1_000; look += 1) {
      if (check()) return
      await new Promise((resolve) => { setTimeout(resolve, 5) })
    }
    throw new Error(`timed out waiting for ${what}`)
  }
}
