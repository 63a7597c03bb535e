import { setMaxListeners } from 'node:events'
import { create, type DescMessage } from '@bufbuild/protobuf'
import { Code, ConnectError, createContextValues, type CallOptions, type Client, type HandlerContext } from '@connectrpc/connect'
import { PeerLinks, type Clock } from 'almondrelay'
import { PeerService } from 'almondrelay-protocol'
import type { FakeHost } from './fakeHost.js'
import { LinkFault } from './linkFault.js'

type PeerClient = Client<typeof PeerService>
type PeerLink = ReturnType<PeerLinks['open']>
type Handler = (request: object, context: HandlerContext) => unknown

/** One-way latency between any two hosts, in milliseconds. */
const LATENCY_MS = 1

/** Calls from one host to its peers, handled in this process, with faults by receiver. */
export class FakeLinks extends PeerLinks {
  readonly faults = new Map<string, LinkFault>()
  private breaks: Array<(error: ConnectError) => void> = []

  constructor (private readonly from: FakeHost, private readonly findByAddress: (address: string) => FakeHost | undefined, private readonly clock: Clock) {
    super()
  }

  override get (address: string): PeerClient {
    return this.createClient(address, false)
  }

  override open (address: string): PeerLink {
    return { client: this.createClient(address, true), close: () => undefined }
  }

  override drop (address: string): void {
    const host = this.findByAddress(address)?.identity.host ?? ''
    if (this.faults.get(host) === LinkFault.silentConnection) this.faults.delete(host)
    this.cancelCalls()
  }

  /** Makes the connection in use to a peer silent for good; the daemon's pings find it, and a new one works. */
  injectSilence (host: string): void {
    this.faults.set(host, LinkFault.silentConnection)
    void this.clock.sleep(PING_MS, NEVER).then(() => {
      this.faults.delete(host)
      this.cancelCalls()
    })
  }

  /** Breaks every connection in use; what was sent on it may take effect. */
  cancelCalls (): void {
    for (const reject of this.breaks.splice(0)) reject(new ConnectError('connection lost', Code.Unavailable))
  }

  private createClient (address: string, isNew: boolean): PeerClient {
    const methods = PeerService.methods.map((method) => {
      const call = (request: object, options: CallOptions = {}): Promise<unknown> =>
        this.call(address, isNew, method.localName, create(method.input, request as Record<string, unknown>), method.output, options)
      return [method.localName, call]
    })
    return Object.fromEntries(methods) as PeerClient
  }

  private async call (address: string, isNew: boolean, name: string, request: object, output: DescMessage, options: CallOptions): Promise<unknown> {
    const fault = this.faults.get(this.findByAddress(address)?.identity.host ?? '') ?? LinkFault.none
    const to = this.findByAddress(address)
    await this.clock.sleep(LATENCY_MS, NEVER)
    if (to === undefined || to.killed || fault === LinkFault.refuse) throw refuse()
    if (fault === LinkFault.silentConnection && !isNew) return await this.waitForAnswer(NOTHING, to, options)
    if (fault === LinkFault.loseRequest) return await this.waitForPing(options)
    const delayMs = fault === LinkFault.delayRequest && !isNew ? DELAY_MS : 0
    const answer = this.handle(to, name, request, output, delayMs)
    if (fault === LinkFault.loseAnswer) return await this.waitForPing(options)
    return await this.waitForAnswer(answer, to, options)
  }

  private async handle (to: FakeHost, name: string, request: object, output: DescMessage, delayMs: number): Promise<unknown> {
    await this.clock.sleep(delayMs, NEVER)
    await to.clock.waitWhileFrozen()
    const handler = (to.handlers as Record<string, Handler | undefined>)[name]
    if (handler === undefined) throw new ConnectError('not handled', Code.Unimplemented)
    const context = { signal: NEVER, values: createContextValues() } as unknown as HandlerContext
    const answer = await handler(request, context)
    await to.clock.waitWhileFrozen()
    await this.clock.sleep(LATENCY_MS, NEVER)
    return create(output, answer as Record<string, unknown>)
  }

  private async waitForAnswer (answer: Promise<unknown>, to: FakeHost, options: CallOptions): Promise<unknown> {
    const done = new AbortController()
    try {
      const timeout = this.waitInVain(options, done.signal)
      const result = await Promise.race([answer, timeout, to.waitForKill(), this.waitForBreak(), this.waitForFrozen(to, done.signal)])
      await this.from.clock.waitWhileFrozen()
      return result
    } finally {
      done.abort()
    }
  }

  private waitForBreak (): Promise<never> {
    return new Promise((resolve, reject) => { this.breaks.push(reject) })
  }

  /** Pings on a silent connection fail, and the connection is closed. */
  private async waitForPing (options: CallOptions): Promise<never> {
    await this.waitInVain({ ...options, timeoutMs: Math.min(PING_MS, options.timeoutMs ?? PING_MS) })
    throw new ConnectError('connection lost', Code.Unavailable)
  }

  /** A frozen process answers no pings, so the connection to it is closed. */
  private async waitForFrozen (to: FakeHost, done: AbortSignal): Promise<never> {
    for (;;) {
      await this.clock.sleep(PING_MS, done)
      if (done.aborted || to.clock.isFrozen) throw new ConnectError('connection lost', Code.Unavailable)
    }
  }

  /** Never answers; rejects at the call's timeout or when its signal aborts. */
  private async waitInVain (options: CallOptions, done?: AbortSignal): Promise<never> {
    const signals = [options.signal, done].filter((signal) => signal !== undefined)
    await this.clock.sleep(options.timeoutMs ?? NEVER_MS, AbortSignal.any(signals))
    throw new ConnectError('no answer', Code.DeadlineExceeded)
  }
}

/** Time in which the daemon's pings find a silent connection, in milliseconds. */
const PING_MS = 1_500
const NEVER = new AbortController().signal
setMaxListeners(0, NEVER)
/** Within the validity of a credit, so that only fencing keeps a late attempt from starting. */
const DELAY_MS = 400
const NOTHING = new Promise<never>(() => undefined)
const NEVER_MS = 3_600_000

function refuse (): ConnectError {
  const cause = Object.assign(new Error('connect ECONNREFUSED'), { code: 'ECONNREFUSED' })
  return new ConnectError('connect ECONNREFUSED', Code.Unavailable, undefined, undefined, cause)
}
