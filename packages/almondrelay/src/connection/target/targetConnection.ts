import type { Socket } from 'node:net'
import { buildConnector, Client, errors, type Dispatcher } from 'undici'
import type { AnswerHeader } from '../../request/answerHeader.js'
import { AnswerIdentity } from '../../request/answerIdentity.js'
import { HeaderName } from '../../request/contract/headerName.js'
import { identifyAnswer } from '../../request/identifyAnswer.js'
import type { TargetReply } from '../../request/targetReply.js'
import type { TargetRequest } from '../../request/targetRequest.js'
import { AnswerHeadChecker } from './answerHeadChecker.js'
import type { TargetObserver } from './targetObserver.js'

/** Several times the round-trip time between the most distant regions (110 ms). */
const CONNECT_TIMEOUT_MS = 1_000
const KEEP_ALIVE_TIMEOUT_MS = 20_000
const NOT_RUN_STATUS = 503

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])
/** Message of the error with which undici closes a connection that received bytes for which no request is pending. */
const EXCESS_BYTES_ERROR = 'bad response'
/** Turns of the event loop within which undici reports bytes that arrived together with the end of a response. */
const EXCESS_CHECK_TURNS = 2
const HOP_BY_HOP: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'proxy-connection', 'content-length'])

/**
 * A connection to a target, which carries one request at a time.
 *
 * The order of answers proves nothing once a second request has been sent: the target may have answered the first one
 * twice. An answer is passed on only if it echoes the request's send id, or if the request is the only one that was sent
 * on the connection.
 */
export class TargetConnection {
  private readonly client: Client
  private readonly head = new AnswerHeadChecker()
  private isConnected = false
  /** Final answers read from the connection. */
  private answers = 0
  private isLastAnswerEchoed = false
  /** Whether the connection ended on bytes that belong to no response. */
  private hadExcessBytes = false

  constructor (private readonly address: string, private readonly observer: TargetObserver) {
    this.client = new Client(`http://${address}`, {
      connect: this.buildCheckedConnector(),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      pipelining: 1
    })
    // undici opens a new connection for a request that it has not written when the connection ends.
    this.client.on('connect', () => {
      this.isConnected = true
      this.hadExcessBytes = false
      this.answers = 0
      this.observer.observeConnection(address)
    })
    this.client.on('disconnect', (_origin, _targets, error) => {
      this.isConnected = false
      this.hadExcessBytes = error.message === EXCESS_BYTES_ERROR
    })
  }

  /** Whether another request may be sent on this connection: it is open, and its target echoes ids. */
  isReusable (): boolean {
    return this.isConnected && this.isLastAnswerEchoed
  }

  /** Sends a request with a send id that no other request of this process has. */
  async send (request: TargetRequest, sendId: string, signal: AbortSignal): Promise<TargetReply> {
    let hasResponseStarted = false
    this.head.begin()
    try {
      const response = await this.client.request({
        method: request.method as 'GET',
        path: request.path,
        headers: [...request.headers.flatMap((header) => isOwnHeader(header.name.toLowerCase()) ? [] : [header.name, header.value]), HeaderName.sendId, sendId],
        body: request.body.byteLength === 0 ? null : request.body,
        signal
      })
      hasResponseStarted = true
      const { fault } = this.head
      if (fault !== undefined) {
        response.body.on('error', () => {}).destroy()
        return { kind: 'lost', message: `an answer arrived whose head is not sound: ${fault}`, broken: true }
      }
      const identity = this.identify(response, sendId)
      if (identity !== AnswerIdentity.echoed && identity !== AnswerIdentity.onlyRequest) {
        response.body.on('error', () => {}).destroy()
        return { kind: 'lost', message: `an answer arrived that may belong to another request: ${identity}`, broken: true }
      }
      const headers = toHeaders(response.headers)
      const chunks: Buffer[] = []
      let bytes = 0
      for await (const chunk of response.body as AsyncIterable<Buffer>) {
        bytes += chunk.byteLength
        if (bytes > request.maxAnswerBytes) return { kind: 'too-large', bytes }
        chunks.push(chunk)
      }
      if (await this.hasExcessBytes()) return { kind: 'lost', message: 'the target sent more than the length that it stated', broken: true }
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

  private buildCheckedConnector (): buildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
    return (options, callback) => {
      connect(options, (...result: Parameters<typeof callback>) => {
        const [, socket] = result
        if (socket !== null) this.checkReceived(socket)
        callback(...result)
      })
    }
  }

  /** Shows what a socket receives to the checker of heads. A listener for data would take it from undici. */
  private checkReceived (socket: Socket): void {
    const push = socket.push.bind(socket)
    socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
      if (Buffer.isBuffer(chunk)) this.head.receive(chunk)
      return push(chunk, encoding)
    }
  }

  private identify ({ statusCode, statusText, headers }: Dispatcher.ResponseData, sendId: string): AnswerIdentity {
    const echoedIds = [headers[HeaderName.sendId] ?? []].flat()
    const texts = [statusText, ...Object.values(headers).flatMap((value) => value ?? [])]
    const identity = identifyAnswer({ sendId, echoedIds, isFirstOnConnection: this.answers === 0, texts })
    this.answers += 1
    this.isLastAnswerEchoed = identity === AnswerIdentity.echoed
    if (identity !== AnswerIdentity.echoed && identity !== AnswerIdentity.onlyRequest) {
      this.observer.observeUnprovedAnswer({ address: this.address, identity, status: statusCode, sendId, echoedIds })
    }
    return identity
  }

  /** Closes the connection at once, whatever runs on it. */
  async close (): Promise<void> {
    await this.client.destroy()
  }

  /**
   * Failure: a target states a Content-Length shorter than the body that it sends, and the caller gets a truncated
   * answer as if it were complete. undici closes the connection on the excess bytes, within EXCESS_CHECK_TURNS
   * turns of the event loop if they arrived together with the stated ones. Excess bytes that arrive later are not
   * detected as part of this answer: by RFC 9112, section 6.3, its length is the stated one.
   */
  private async hasExcessBytes (): Promise<boolean> {
    for (let turn = 0; turn < EXCESS_CHECK_TURNS; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
    return this.hadExcessBytes
  }
}

/** Whether a header, in lower case, belongs to the connection or to this sending and isn't passed on. */
function isOwnHeader (name: string): boolean {
  return HOP_BY_HOP.has(name) || name === HeaderName.sendId
}

function toHeaders (raw: Record<string, string | string[] | undefined>): AnswerHeader[] {
  return Object.entries(raw).flatMap(([name, value]) => {
    if (value === undefined || isOwnHeader(name)) return []
    return [value].flat().map((each) => ({ name, value: each }))
  })
}

function readRetryAfterMs (headers: AnswerHeader[]): number | undefined {
  const seconds = Number(headers.find((header) => header.name === HeaderName.retryAfter)?.value)
  return Number.isFinite(seconds) ? seconds * 1_000 : undefined
}
