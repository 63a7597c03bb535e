import { request } from 'undici'
import { AlmondrelayError, ErrorKind, isFinalStatus } from 'almondrelay'
import type { HttpAnswer } from './httpAnswer.js'
import type { HttpCall } from './httpCall.js'

const DEFAULT_TIMEOUT_MS = 5_000

/** Codes of errors that occur before the connection is open, so that no byte of the call can have reached the host. */
const NOT_SENT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends calls to the operator port of the first of the given hosts that can be reached and is ready. */
export class OperatorClient {
  constructor (private readonly addresses: readonly string[], private readonly signal: AbortSignal) {}

  /**
   * Sends an idempotent call: the next host is tried after any failure.
   *
   * @throws AlmondrelayError of kind `peer-unavailable` when no host answered.
   */
  async sendIdempotent (call: HttpCall): Promise<HttpAnswer> {
    const answer = await this.tryHosts(call, () => true)
    return answer as HttpAnswer
  }

  /**
   * Sends a write. The next host is tried only while no host can have received the write.
   *
   * A write whose answer is lost may have been stored. If it were reported as failed, the operator would write again and
   * could overwrite a change that another operator made in between. So undefined is returned, and the caller has to look
   * up the outcome by the write id.
   */
  async write (call: HttpCall): Promise<HttpAnswer | undefined> {
    return await this.tryHosts(call, isNotSent)
  }

  /** Returns the first answer; undefined after a failure for which `allowNext` does not allow trying another host. */
  private async tryHosts (call: HttpCall, allowNext: (error: unknown) => boolean): Promise<HttpAnswer | undefined> {
    const failures: string[] = []
    for (const address of this.addresses) {
      try {
        const answer = await this.send(address, call)
        if (!isNotReady(answer)) return answer
        failures.push(`${address}: not ready`)
      } catch (error) {
        this.signal.throwIfAborted()
        if (!allowNext(error)) return undefined
        failures.push(`${address}: ${describeFailure(error)}`)
      }
    }
    throw makeUnreachableError(failures)
  }

  private async send (address: string, call: HttpCall): Promise<HttpAnswer> {
    const timeoutMs = call.timeoutMs ?? DEFAULT_TIMEOUT_MS
    const response = await request(`http://${address}${call.path}`, {
      method: call.method,
      headers: { accept: 'application/json', 'content-type': 'application/json', ...call.headers },
      ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
      signal: AbortSignal.any([this.signal, AbortSignal.timeout(timeoutMs)])
    })
    const text = await response.body.text()
    if (!isFinalStatus(response.statusCode)) throw new Error(`the answer has the status ${response.statusCode}, which HTTP does not know`)
    return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text), address }
  }
}

// A host without a configuration answers `not-ready` and has stored nothing.
const isNotReady = (answer: HttpAnswer): boolean => answer.status === 503 && (answer.body as { outcome?: string } | undefined)?.outcome === 'not-ready'

const isNotSent = (error: unknown): boolean => NOT_SENT_ERROR_CODES.has((error as { code?: string }).code ?? '')

const describeFailure = (error: unknown): string => {
  const { code, message } = error as { code?: string, message: string }
  return code ?? message
}

const makeUnreachableError = (failures: readonly string[]): AlmondrelayError => new AlmondrelayError({
  kind: ErrorKind.peerUnavailable,
  message: `no host answered (${failures.join('; ')})`,
  remedy: 'name operator ports that can be reached with --operator <ip:port>, once for each host, or in ALMONDRELAY_OPERATOR with commas'
})
