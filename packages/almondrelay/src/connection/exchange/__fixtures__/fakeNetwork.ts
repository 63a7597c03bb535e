import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { DescMessage, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import type { Client } from '@connectrpc/connect'
import { Code, ConnectError } from '@connectrpc/connect'
import { ExchangeRequestSchema, ExchangeResponseSchema, FetchChangesRequestSchema, FetchChangesResponseSchema } from 'almondrelay-protocol'
import type { PeerService } from 'almondrelay-protocol'
import type { Random } from '../../../request/random.js'
import type { FakeClock } from '../../../process/platform/__fixtures__/fakeClock.js'
import type { ExchangeHub } from '../exchangeHub.js'
import { handleExchange } from '../handleExchange.js'
import { handleFetchChanges } from '../handleFetchChanges.js'

const LATENCY_MS = 1
const TIMEOUT_MS = 1_000

interface Endpoint {
  host: string
  hub: ExchangeHub
  /** Whether the process is paused: its kernel accepts connections, and nothing answers. */
  isFrozen: boolean
  isDead: boolean
}

type CallOptions = { signal?: AbortSignal, timeoutMs?: number } | undefined

/** Connects peers in memory and virtual time; every message is encoded and decoded. */
export class FakeNetwork {
  readonly endpoints = new Map<string, Endpoint>()
  /** Bytes of messages sent and received by each host. */
  readonly bytes = new Map<string, number>()
  readonly exchanges = new Map<string, number>()
  /** Whether messages between two hosts are dropped. */
  isDropped: (from: string, to: string) => boolean = () => false
  /** Whether calls from one host to another are lost, though calls in the other direction succeed. */
  isCallDropped: (from: string, to: string) => boolean = () => false
  /** Whether a device between two hosts refuses connections in place of the called host. */
  isRejected: (from: string, to: string) => boolean = () => false
  /** Share of calls whose answers are lost. */
  answerLossShare = 0

  constructor (private readonly clock: FakeClock, private readonly random: Random) {}

  register (address: string, host: string, hub: ExchangeHub): Endpoint {
    const endpoint = { host, hub, isFrozen: false, isDead: false }
    this.endpoints.set(address, endpoint)
    return endpoint
  }

  createClient (from: string, address: string): Client<typeof PeerService> {
    return {
      exchange: async (request: MessageShape<typeof ExchangeRequestSchema>, options: CallOptions) => {
        this.exchanges.set(from, (this.exchanges.get(from) ?? 0) + 1)
        return await this.send(from, address, [ExchangeRequestSchema, ExchangeResponseSchema], request, handleExchange, options)
      },
      fetchChanges: async (request: MessageInitShape<typeof FetchChangesRequestSchema>, options: CallOptions) =>
        await this.send(from, address, [FetchChangesRequestSchema, FetchChangesResponseSchema], create(FetchChangesRequestSchema, request), handleFetchChanges, options)
    } as unknown as Client<typeof PeerService>
  }

  private async send<Request extends DescMessage, Response extends DescMessage> (
    from: string,
    address: string,
    [requestSchema, responseSchema]: [Request, Response],
    request: MessageShape<Request>,
    handle: (request: MessageShape<Request>, hub: ExchangeHub) => MessageShape<Response>,
    options: CallOptions
  ): Promise<MessageShape<Response>> {
    const signal = options?.signal ?? new AbortController().signal
    const endpoint = this.endpoints.get(address)
    await this.clock.sleep(LATENCY_MS, signal)
    if (endpoint === undefined || endpoint.isDead || this.isRejected(from, endpoint.host)) throw new ConnectError('connect', Code.Unavailable, undefined, undefined, Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }))
    const sent = this.countBytes(from, endpoint.host, toBinary(requestSchema, request))
    if (endpoint.isFrozen || this.isDropped(from, endpoint.host) || this.isCallDropped(from, endpoint.host)) await this.waitUntilTimeout(options, signal)
    const answer = this.countBytes(from, endpoint.host, toBinary(responseSchema, handle(fromBinary(requestSchema, sent), endpoint.hub)))
    if (this.random() < this.answerLossShare || this.isDropped(endpoint.host, from)) await this.waitUntilTimeout(options, signal)
    await this.clock.sleep(LATENCY_MS, signal)
    if (signal.aborted) throw new ConnectError('aborted', Code.Canceled)
    return fromBinary(responseSchema, answer)
  }

  private countBytes (from: string, to: string, message: Uint8Array): Uint8Array {
    for (const host of [from, to]) this.bytes.set(host, (this.bytes.get(host) ?? 0) + message.length)
    return message
  }

  private async waitUntilTimeout (options: CallOptions, signal: AbortSignal): Promise<never> {
    await this.clock.sleep(options?.timeoutMs ?? TIMEOUT_MS, signal)
    throw new ConnectError('no answer', Code.DeadlineExceeded)
  }
}
