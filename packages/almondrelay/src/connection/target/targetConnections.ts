import { Client, errors } from 'undici'
import type { AnswerHeader } from '../../request/answerHeader.js'
import { HeaderName } from '../../request/contract/headerName.js'
import type { Clock } from '../../process/platform/clock.js'
import { TargetSender } from '../../process/dispatch/targetSender.js'
import type { TargetRequest } from '../../request/targetRequest.js'
import type { TargetReply } from '../../request/targetReply.js'

interface IdleConnection {
  client: Client
  /** Monotonic time in milliseconds at which the target last sent bytes. */
  lastActiveAt: number
}

/** Several times the round-trip time between the most distant regions (110 ms). */
const CONNECT_TIMEOUT_MS = 1_000
/** An idle connection is reused only this long after its last bytes; an older one may have failed without notice. */
const MAX_REUSE_IDLE_MS = 1_000
const KEEP_ALIVE_TIMEOUT_MS = 20_000
const MAX_IDLE_CONNECTIONS_PER_TARGET = 64
const NOT_RUN_STATUS = 503

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])
/** Message of the error with which undici closes a connection that received bytes for which no request is pending. */
const EXCESS_BYTES_ERROR = 'bad response'
/** Turns of the event loop within which undici reports bytes that arrived together with the end of a response. */
const EXCESS_CHECK_TURNS = 2
const HOP_BY_HOP: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'proxy-connection', 'content-length'])

/**
 * Connections to targets, one request at a time on each.
 *
 * Failure: an open connection can stop delivering packets for good while new connections work. A request sent on
 * it is never answered, and it is unknown whether the request ran. A request is therefore sent only on a
 * connection that received bytes within MAX_REUSE_IDLE_MS, or on a new one, which costs about 1 ms.
 * A connection whose answer is no longer awaited is destroyed, so that a late answer can't be taken for that of a later request.
 */
export class TargetConnections extends TargetSender {
  private readonly idle = new Map<string, IdleConnection[]>()

  constructor (private readonly clock: Clock) {
    super()
  }

  override async send (address: string, request: TargetRequest, signal: AbortSignal): Promise<TargetReply> {
    const client = this.take(address, this.clock.getNow()) ?? this.open(address)
    const result = await sendRequest(client, request, signal)
    if (result.kind === 'answered' || result.kind === 'shed') this.addIdle(address, client)
    else void client.destroy()
    return result
  }

  async close (): Promise<void> {
    const clients = [...this.idle.values()].flat().map((each) => each.client)
    this.idle.clear()
    await Promise.all(clients.map((client) => client.destroy()))
  }

  private open (address: string): Client {
    return new Client(`http://${address}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      pipelining: 1
    })
  }

  private take (address: string, now: number): Client | undefined {
    const connections = this.idle.get(address)
    const newest = connections?.pop()
    if (newest === undefined) return undefined
    if (now - newest.lastActiveAt <= MAX_REUSE_IDLE_MS && !newest.client.closed && !newest.client.destroyed) return newest.client
    void newest.client.destroy()
    this.closeIdle(address)
    return undefined
  }

  private addIdle (address: string, client: Client): void {
    const connections = this.idle.get(address) ?? []
    if (connections.length >= MAX_IDLE_CONNECTIONS_PER_TARGET) {
      void client.destroy()
      return
    }
    connections.push({ client, lastActiveAt: this.clock.getNow() })
    this.idle.set(address, connections)
  }

  /** Destroys all idle connections to a target; called when the most recently used one is too old, so the others are too. */
  private closeIdle (address: string): void {
    for (const each of this.idle.get(address) ?? []) void each.client.destroy()
    this.idle.delete(address)
  }
}

async function sendRequest (client: Client, request: TargetRequest, signal: AbortSignal): Promise<TargetReply> {
  let hasResponseStarted = false
  observeExcessBytes(client)
  try {
    const response = await client.request({
      method: request.method as 'GET',
      path: request.path,
      headers: request.headers.flatMap((header) => HOP_BY_HOP.has(header.name.toLowerCase()) ? [] : [header.name, header.value]),
      body: request.body.byteLength === 0 ? null : request.body,
      signal
    })
    hasResponseStarted = true
    const headers = toHeaders(response.headers)
    const chunks: Buffer[] = []
    let bytes = 0
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      bytes += chunk.byteLength
      if (bytes > request.maxAnswerBytes) return { kind: 'too-large', bytes }
      chunks.push(chunk)
    }
    if (await hasExcessBytes(client)) return { kind: 'lost', message: 'the target sent more than the length that it stated', broken: true }
    const isShed = response.statusCode === NOT_RUN_STATUS && headers.some((header) => header.name === HeaderName.notRun && header.value === '1')
    if (isShed) return { kind: 'shed', retryAfterMs: readRetryAfterMs(headers) }
    return { kind: 'answered', status: response.statusCode, headers, body: chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks) }
  } catch (error) {
    const isConnectError = error instanceof errors.ConnectTimeoutError || CONNECT_ERROR_CODES.has((error as NodeJS.ErrnoException).code ?? '')
    const message = error instanceof Error ? error.message : String(error)
    if (isConnectError && !hasResponseStarted) return { kind: 'not-sent', message }
    return { kind: 'lost', message, broken: hasResponseStarted && !signal.aborted }
  }
}

/** Clients whose connection received bytes that belong to no response. */
const clientsWithExcessBytes = new WeakSet<Client>()

function observeExcessBytes (client: Client): void {
  if (client.listenerCount('disconnect') > 0) return
  client.on('disconnect', (_origin, _targets, error) => {
    if (error.message === EXCESS_BYTES_ERROR) clientsWithExcessBytes.add(client)
  })
}

/**
 * Failure: a target states a Content-Length shorter than the body that it sends, and the caller gets a truncated
 * answer as if it were complete. undici closes the connection on the excess bytes, within EXCESS_CHECK_TURNS
 * turns of the event loop if they arrived together with the stated ones. Excess bytes that arrive later are not
 * detected as part of this answer: by RFC 9112, section 6.3, its length is the stated one.
 */
async function hasExcessBytes (client: Client): Promise<boolean> {
  for (let turn = 0; turn < EXCESS_CHECK_TURNS; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
  return clientsWithExcessBytes.has(client)
}

function toHeaders (raw: Record<string, string | string[] | undefined>): AnswerHeader[] {
  return Object.entries(raw).flatMap(([name, value]) => {
    if (value === undefined || HOP_BY_HOP.has(name)) return []
    return [value].flat().map((each) => ({ name, value: each }))
  })
}

function readRetryAfterMs (headers: AnswerHeader[]): number | undefined {
  const seconds = Number(headers.find((header) => header.name === HeaderName.retryAfter)?.value)
  return Number.isFinite(seconds) ? seconds * 1_000 : undefined
}
