import type { ServiceSpec } from '../../version/resources/serviceSpec.js'
import type { Answer } from '../answer.js'
import { buildRefusal } from '../buildRefusal.js'
import { Outcome } from '../outcome.js'
import { RefusalReason } from '../refusalReason.js'
import type { CallerRequest } from './callerRequest.js'
import { HeaderName } from './headerName.js'
import type { HomeReference } from './homeReference.js'
import { isIdempotent } from './isIdempotent.js'
import { parseHome } from './parseHome.js'
import { parseIdTime } from './parseIdTime.js'
import type { RawRequest } from './rawRequest.js'

interface ContractLimits {
  maxDeadlineMs: number
}

type ParseResult = { request: CallerRequest } | { refusal: Answer }

type Headers = ReadonlyMap<string, string>

const VISIBLE_TEXT = /^[\x21-\x7e]{1,128}$/
const DEADLINE = /^\d{1,9}$/
const ATTEMPT = /^\d{1,6}$/
const ANONYMOUS_CALLER = 'anonymous'
/** Maximum number of characters of a malformed value that a message quotes. */
const MAX_QUOTED_CHARACTERS = 40

/** Thrown while a request is parsed that violates the caller contract. */
class ContractViolation extends Error {
  constructor (readonly reason: RefusalReason, message: string) {
    super(message)
  }
}

/** Parses and checks a request by the caller contract; a refusal names the header and what to send instead. */
export function parseCallerRequest (raw: RawRequest, service: ServiceSpec, limits: ContractLimits, makeId: () => string): ParseResult {
  try {
    return { request: readRequest(raw, service, limits, makeId) }
  } catch (error) {
    if (!(error instanceof ContractViolation)) throw error
    return { refusal: buildRefusal({ outcome: Outcome.notRun, reason: error.reason, message: error.message }) }
  }
}

function readRequest (raw: RawRequest, service: ServiceSpec, limits: ContractLimits, makeId: () => string): CallerRequest {
  const headers: Headers = new Map(raw.headers.map((header) => [header.name.toLowerCase(), header.value]))
  checkBody(raw, service)
  const idempotent = isIdempotent(service, raw.method, raw.path)
  const id = readId(headers)
  const home = readHome(headers)
  if (!idempotent) requireIdAndHome(raw, id, home)
  return {
    id: id ?? makeId(),
    idTime: id === undefined ? undefined : parseIdTime(id),
    attempt: readAttempt(headers),
    service: raw.service,
    caller: readName(headers, HeaderName.caller) ?? ANONYMOUS_CALLER,
    key: readName(headers, HeaderName.key) ?? '',
    method: raw.method,
    path: raw.path,
    headers: raw.headers,
    body: raw.body,
    idempotent,
    home: idempotent ? undefined : home,
    deadlineMs: Math.min(readDeadlineMs(headers) ?? service.defaultDeadlineMs, limits.maxDeadlineMs)
  }
}

function checkBody (raw: RawRequest, service: ServiceSpec): void {
  if (raw.body.byteLength <= service.maxBodyBytes) return
  throw new ContractViolation(RefusalReason.bodyTooLarge, `the body has ${raw.body.byteLength} bytes: send at most ${service.maxBodyBytes}`)
}

/** Checks that a request that must not run twice has an id and a home. */
function requireIdAndHome (raw: RawRequest, id: string | undefined, home: HomeReference | undefined): void {
  const about = `${raw.method} ${raw.path.slice(0, MAX_QUOTED_CHARACTERS)} is not idempotent`
  if (id === undefined) throw new ContractViolation(RefusalReason.missingId, `${about}: send Idempotency-Key, a UUIDv7 that stays the same on every retry`)
  if (home === undefined) throw new ContractViolation(RefusalReason.missingHome, `${about}: send Almondrelay-Home, host;incarnation from the look-up that you used first`)
}

function readId (headers: Headers): string | undefined {
  const text = headers.get(HeaderName.id)?.toLowerCase()
  if (text !== undefined && parseIdTime(text) === undefined) throw buildViolation('Idempotency-Key', text, 'send a UUIDv7')
  return text
}

function readHome (headers: Headers): HomeReference | undefined {
  const text = headers.get(HeaderName.home)
  if (text === undefined) return undefined
  const home = parseHome(text)
  if (home === undefined) throw buildViolation('Almondrelay-Home', text, 'send host;incarnation as the look-up gave them')
  return home
}

function readAttempt (headers: Headers): number | undefined {
  const text = headers.get(HeaderName.attempt)
  if (text !== undefined && !ATTEMPT.test(text)) throw buildViolation('Almondrelay-Attempt', text, 'send a whole number, one higher after each not-run')
  return text === undefined ? undefined : Number(text)
}

function readDeadlineMs (headers: Headers): number | undefined {
  const text = headers.get(HeaderName.deadline)
  if (text === undefined) return undefined
  if (!DEADLINE.test(text) || Number(text) === 0) throw buildViolation('Almondrelay-Deadline', text, 'send the milliseconds left, a whole number above 0')
  return Number(text)
}

function readName (headers: Headers, header: typeof HeaderName.caller | typeof HeaderName.key): string | undefined {
  const text = headers.get(header)
  if (text !== undefined && !VISIBLE_TEXT.test(text)) throw buildViolation(header, text, 'send 1 to 128 visible ASCII characters')
  return text
}

function buildViolation (header: string, text: string, remedy: string): ContractViolation {
  return new ContractViolation(RefusalReason.invalidHeader, `${header} is '${text.slice(0, MAX_QUOTED_CHARACTERS)}': ${remedy}`)
}
