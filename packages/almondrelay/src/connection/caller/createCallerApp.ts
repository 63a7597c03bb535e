import { randomUUID } from 'node:crypto'
import { Hono, type Context } from 'hono'
import type { Answer } from '../../request/answer.js'
import { buildRefusal } from '../../request/buildRefusal.js'
import type { CallerRequest } from '../../request/contract/callerRequest.js'
import { HeaderName } from '../../request/contract/headerName.js'
import { parseCallerRequest } from '../../request/contract/parseCallerRequest.js'
import { parseHome } from '../../request/contract/parseHome.js'
import { parseIdTime } from '../../request/contract/parseIdTime.js'
import { Outcome } from '../../request/outcome.js'
import { RefusalReason } from '../../request/refusalReason.js'
import type { AnswerRecorder } from '../../process/dispatch/answerRecorder.js'
import type { RequestHandler } from '../../process/dispatch/requestHandler.js'
import type { ServiceRuntime } from '../../process/dispatch/serviceRuntime.js'
import type { Services } from '../../process/dispatch/services.js'
import type { LookupAnswerer } from '../../process/lookup/lookupAnswerer.js'
import { readBody } from './readBody.js'
import { toHttpResponse } from './toHttpResponse.js'

interface CallerAppParts {
  host: string
  services: Services
  handler: RequestHandler
  lookups: LookupAnswerer
  recorder: AnswerRecorder
  maxDeadlineMs: number
}

const REQUEST_PREFIX = '/s/'
const NOT_READY_RETRY_AFTER_MS = 1_000

/** Creates the HTTP app of the caller port: look-ups, requests, and the fencing of a request id by its caller. */
export function createCallerApp (parts: CallerAppParts): Hono {
  const app = new Hono()
  app.get('/v1/lookup', (context) => answerLookup(context, parts))
  app.post('/v1/requests/:id/fence', async (context) => toHttpResponse(await fenceRequest(context, parts), parts.host))
  app.all(`${REQUEST_PREFIX}:service/*`, async (context) => toHttpResponse(await answerRequest(context, parts), parts.host))
  app.notFound((context) => context.json({ outcome: Outcome.notRun, message: 'no such path: send requests to /s/<service>/<path>, look-ups to /v1/lookup?service=<service>' }, 404))
  return app
}

function answerLookup (context: Context, parts: CallerAppParts): Response {
  const service = context.req.query('service')
  if (service === undefined) return context.json({ message: 'the look-up names no service: add ?service=<name>' }, 400)
  const lookup = parts.lookups.answer(service, context.req.query('from'))
  if (lookup.kind === 'answer') return context.json(lookup.answer)
  if (lookup.kind === 'unknown-service') return context.json({ message: `no service '${service}' is configured: check the name` }, 404)
  context.header(HeaderName.retryAfter, '1')
  return context.json({ message: 'this host has no configuration yet, or is stopping: try again, or ask another host' }, 503)
}

async function answerRequest (context: Context, parts: CallerAppParts): Promise<Answer> {
  const startedAt = parts.recorder.begin()
  const service = context.req.param('service') ?? ''
  if (parts.services.configuration === undefined) return refuseNotReady()
  const runtime = parts.services.find(service)
  const request = await readRequest(context, service, runtime, parts)
  const answer = 'answer' in request ? request.answer : await parts.handler.handle(request.request, request.runtime, context.req.raw.signal)
  const caller = context.req.header(HeaderName.caller) ?? ''
  parts.recorder.finish(startedAt, { service, caller, id: 'answer' in request ? '' : request.request.id }, answer)
  return answer
}

type ReadResult = { request: CallerRequest, runtime: ServiceRuntime } | { answer: Answer }

async function readRequest (context: Context, service: string, runtime: ServiceRuntime | undefined, parts: CallerAppParts): Promise<ReadResult> {
  if (runtime === undefined) return { answer: refuse(RefusalReason.unknownService, `no service '${service.slice(0, 64)}' is configured: check the name`) }
  const { maxBodyBytes } = runtime.spec
  const body = await readBody(context.req.raw, maxBodyBytes)
  if (body === undefined) return { answer: refuse(RefusalReason.bodyTooLarge, `the body is too long: send at most ${maxBodyBytes} bytes`) }
  const headers = [...context.req.raw.headers].map(([name, value]) => ({ name, value }))
  const raw = { method: context.req.method, service, path: readTargetPath(context.req.url, service), headers, body }
  const parsed = parseCallerRequest(raw, runtime.spec, { maxDeadlineMs: parts.maxDeadlineMs }, randomUUID)
  return 'refusal' in parsed ? { answer: parsed.refusal } : { request: parsed.request, runtime }
}

/** Returns the path and query after `/s/<service>` as received, without decoding. */
function readTargetPath (url: string, service: string): string {
  const start = url.indexOf(REQUEST_PREFIX, url.indexOf('://') + 3)
  return url.slice(start + REQUEST_PREFIX.length + service.length)
}

async function fenceRequest (context: Context, parts: CallerAppParts): Promise<Answer> {
  const id = (context.req.param('id') ?? '').toLowerCase()
  const idTime = parseIdTime(id)
  const home = parseHome(context.req.header(HeaderName.home) ?? '')
  if (idTime === undefined) return refuse(RefusalReason.invalidHeader, 'the id in the path is not a UUIDv7: send the Idempotency-Key of the request')
  if (home === undefined) return refuse(RefusalReason.missingHome, 'Almondrelay-Home is missing or malformed: send the one that the request was sent with')
  return await parts.handler.fence({ id, idTime, attempt: undefined, fingerprint: '' }, home, context.req.raw.signal)
}

function refuse (reason: RefusalReason, message: string): Answer {
  return buildRefusal({ outcome: Outcome.notRun, reason, message })
}

function refuseNotReady (): Answer {
  return buildRefusal({ outcome: Outcome.notRun, reason: RefusalReason.notReady, message: 'this host has no configuration yet: try again, or ask another host', retryAfterMs: NOT_READY_RETRY_AFTER_MS })
}
