import { Agent, request } from 'undici'
import type { z } from 'zod'
import { AlmondrelayError } from '../errors/almondrelayError.js'
import { ErrorKind } from '../errors/errorKind.js'
import { Platform } from './platform.js'
import { platformAnswers } from './platformAnswers.js'
import type { PlatformEntry } from './platformEntry.js'
import type { PlatformHost } from './platformHost.js'
import type { PlatformPutResult } from './platformPutResult.js'
import type { PlatformWatchResult } from './platformWatchResult.js'

/** Connections to the platform: enough for two pending watches and a few concurrent short calls. */
const MAX_CONNECTIONS = 8
const IDLE_CONNECTION_MS = 4_000

interface HttpPlatformOptions {
  /** Base URL of the service, such as `http://10.0.0.1:7000`. */
  url: string
  /** Timeout for a whole answer; for a watch, its waiting time is added. */
  timeoutMs: number
}

interface Call {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  path: string
  body?: object
  /** Time for which the platform may delay its answer. */
  waitMs?: number
  /** Status codes of valid answers; any other status is an error. */
  statuses: readonly number[]
}

interface Reply {
  status: number
  body: unknown
}

/**
 * Client of the platform's HTTP service; docs/architecture.md lists the calls.
 *
 * Each call has a deadline for the whole answer, body included, after which its connection is closed and the call
 * rejects. Without it, a call would wait forever on a connection over which no more data arrives.
 */
export class HttpPlatform extends Platform {
  private readonly agent: Agent

  constructor (private readonly options: HttpPlatformOptions) {
    super()
    this.agent = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1, keepAliveTimeout: IDLE_CONNECTION_MS, headersTimeout: 0, bodyTimeout: 0 })
  }

  async get (key: string, signal: AbortSignal): Promise<PlatformEntry | undefined> {
    const reply = await this.send({ method: 'GET', path: makeKeyPath(key), statuses: [200, 404] }, signal)
    return reply.status === 404 ? undefined : parseBody(platformAnswers.entry, reply.body)
  }

  async put (key: string, value: string, expectedVersion: number, signal: AbortSignal, leaseId?: string): Promise<PlatformPutResult> {
    const body = leaseId === undefined ? { value, expectedVersion } : { value, expectedVersion, leaseId }
    const reply = await this.send({ method: 'PUT', path: makeKeyPath(key), body, statuses: [200, 409] }, signal)
    return parseBody(platformAnswers.put, reply.body)
  }

  async delete (key: string, expectedVersion: number, signal: AbortSignal): Promise<PlatformPutResult> {
    const path = `${makeKeyPath(key)}?expectedVersion=${expectedVersion}`
    const reply = await this.send({ method: 'DELETE', path, statuses: [200, 409] }, signal)
    return parseBody(platformAnswers.put, reply.body)
  }

  async list (prefix: string, after: string, limit: number, signal: AbortSignal): Promise<PlatformEntry[]> {
    const query = new URLSearchParams({ prefix, after, limit: String(limit) })
    const reply = await this.send({ method: 'GET', path: `/v1/kv?${query}`, statuses: [200] }, signal)
    return parseBody(platformAnswers.list, reply.body).entries
  }

  async watch (prefix: string, afterSequence: number, waitMs: number, signal: AbortSignal): Promise<PlatformWatchResult> {
    const query = new URLSearchParams({ prefix, afterSequence: String(afterSequence), waitMs: String(waitMs) })
    const reply = await this.send({ method: 'GET', path: `/v1/watch?${query}`, waitMs, statuses: [200] }, signal)
    return parseBody(platformAnswers.watch, reply.body)
  }

  async grantLease (ttlMs: number, signal: AbortSignal): Promise<string> {
    const reply = await this.send({ method: 'POST', path: '/v1/leases', body: { ttlMs }, statuses: [200, 201] }, signal)
    return parseBody(platformAnswers.grant, reply.body).leaseId
  }

  async renewLease (leaseId: string, signal: AbortSignal): Promise<boolean> {
    const path = `/v1/leases/${encodeURIComponent(leaseId)}/renew`
    const reply = await this.send({ method: 'POST', path, body: {}, statuses: [200, 404] }, signal)
    return reply.status === 200 && parseBody(platformAnswers.renew, reply.body).renewed
  }

  async releaseLease (leaseId: string, signal: AbortSignal): Promise<void> {
    await this.send({ method: 'DELETE', path: `/v1/leases/${encodeURIComponent(leaseId)}`, statuses: [200, 204, 404] }, signal)
  }

  async listHosts (signal: AbortSignal): Promise<PlatformHost[]> {
    const reply = await this.send({ method: 'GET', path: '/v1/hosts', statuses: [200] }, signal)
    return parseBody(platformAnswers.hosts, reply.body).hosts
  }

  /** Closes every connection; calls in flight reject. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async send (call: Call, signal: AbortSignal): Promise<Reply> {
    const deadline = new AbortController()
    const cancel = () => { deadline.abort() }
    const timer = setTimeout(cancel, this.options.timeoutMs + (call.waitMs ?? 0))
    signal.addEventListener('abort', cancel, { once: true })
    if (signal.aborted) cancel()
    try {
      return await this.runCall(call, deadline.signal)
    } catch (error) {
      if (error instanceof AlmondrelayError) throw error
      throw makeUnavailable(this.options.url, call, error)
    } finally {
      clearTimeout(timer)
      signal.removeEventListener('abort', cancel)
    }
  }

  private async runCall (call: Call, signal: AbortSignal): Promise<Reply> {
    const options: Parameters<typeof request>[1] = { method: call.method, dispatcher: this.agent, signal }
    if (call.body !== undefined) {
      options.body = JSON.stringify(call.body)
      options.headers = { 'content-type': 'application/json' }
    }
    const response = await request(new URL(call.path, this.options.url), options)
    const text = await response.body.text()
    checkStatus(call, response.statusCode)
    return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) }
  }
}

const makeKeyPath = (key: string): string => `/v1/kv/${encodeURIComponent(key)}`

/** Distinguishes server errors, after which a write may or may not have taken effect, from client errors, after which it has not. */
function checkStatus (call: Call, status: number): void {
  if (call.statuses.includes(status)) return
  if (status >= 500) throw new Error(`status ${status}`)
  throw new AlmondrelayError({
    kind: ErrorKind.requestInvalid,
    message: `the platform refused ${call.method} ${call.path.slice(0, 80)} with status ${status}`,
    remedy: status === 413 ? 'keep the value below a megabyte' : 'check that platform.url names the platform and that its version fits'
  })
}

function parseBody<Schema extends z.ZodType> (schema: Schema, body: unknown): z.output<Schema> {
  const parsed = schema.safeParse(body)
  if (parsed.success) return parsed.data
  throw new AlmondrelayError({
    kind: ErrorKind.platformUnavailable,
    message: 'the platform answered in a form that is not its own',
    remedy: 'check that platform.url names the platform and that nothing between answers in its place',
    cause: parsed.error
  })
}

function makeUnavailable (url: string, call: Call, error: unknown): AlmondrelayError {
  return new AlmondrelayError({
    kind: ErrorKind.platformUnavailable,
    message: `no answer from the platform at ${url} to ${call.method} ${call.path.slice(0, 80)}`,
    remedy: 'check that it runs and can be reached from this host; hosts serve on with what they have',
    ...(error instanceof Error ? { cause: error } : {})
  })
}
