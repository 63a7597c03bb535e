import type { ServiceSpec } from '../../version/resources/serviceSpec.js'
import type { Answer } from '../answer.js'
import { buildRefusal } from '../buildRefusal.js'
import { Outcome } from '../outcome.js'
import { RefusalReason } from '../refusalReason.js'
import type { CallerRequest } from './callerRequest.js'
import { HeaderName } from './headerName.js'
import { isIdempotent } from './isIdempotent.js'
import { parseHome } from './parseHome.js'
import { parseIdTime } from './parseIdTime.js'
import type { RawRequest } from './rawRequest.js'

const NAME = /^[\x21-\x7e]{1,128}$/
const DEADLINE = /^\d{1,9}$/
const ATTEMPT = /^\d{1,6}$/
const ANONYMOUS = 'anonymous'

interface ContractLimits {
  maxDeadlineMs: number
}

type ParseResult = { request: CallerRequest } | { refusal: Answer }

/** Checks a request against the caller contract; a refusal names the header and what to send instead. */
export function parseCallerRequest (raw: RawRequest, service: ServiceSpec, limits: ContractLimits, makeId: () => string): ParseResult {
  const headers = new Map(raw.headers.map((header) => [header.name.toLowerCase(), header.value]))
  const caller = headers.get(HeaderName.caller) ?? ANONYMOUS
  if (!NAME.test(caller)) return refuse(RefusalReason.invalidHeader, `Almondrelay-Caller is '${caller.slice(0, 40)}': send 1 to 128 visible ASCII characters`)
  const key = headers.get(HeaderName.key) ?? ''
  if (key !== '' && !NAME.test(key)) return refuse(RefusalReason.invalidHeader, 'Almondrelay-Key is malformed: send 1 to 128 visible ASCII characters')
  const deadlineText = headers.get(HeaderName.deadline) ?? String(service.defaultDeadlineMs)
  if (!DEADLINE.test(deadlineText) || Number(deadlineText) === 0) return refuse(RefusalReason.invalidHeader, `Almondrelay-Deadline is '${deadlineText.slice(0, 40)}': send the milliseconds left, a whole number above 0`)
  if (raw.body.byteLength > service.maxBodyBytes) return refuse(RefusalReason.bodyTooLarge, `the body has ${raw.body.byteLength} bytes: send at most ${service.maxBodyBytes}`)
  const idempotent = isIdempotent(service, raw.method, raw.path)
  const id = headers.get(HeaderName.id)
  const idTime = id === undefined ? undefined : parseIdTime(id)
  if (!idempotent && id === undefined) return refuse(RefusalReason.missingId, `${raw.method} ${raw.path} is not idempotent: send Idempotency-Key, a UUIDv7 that stays the same on every retry`)
  if (id !== undefined && idTime === undefined) return refuse(RefusalReason.invalidHeader, `Idempotency-Key is '${id.slice(0, 40)}': send a UUIDv7`)
  const attemptText = headers.get(HeaderName.attempt)
  if (attemptText !== undefined && !ATTEMPT.test(attemptText)) return refuse(RefusalReason.invalidHeader, `Almondrelay-Attempt is '${attemptText.slice(0, 40)}': send a whole number, one higher after each not-run`)
  const homeText = headers.get(HeaderName.home)
  if (!idempotent && homeText === undefined) return refuse(RefusalReason.missingHome, `${raw.method} ${raw.path} is not idempotent: send Almondrelay-Home, host;incarnation from the look-up that you used first`)
  const home = homeText === undefined ? undefined : parseHome(homeText)
  if (homeText !== undefined && home === undefined) return refuse(RefusalReason.invalidHeader, `Almondrelay-Home is '${homeText.slice(0, 40)}': send host;incarnation as the look-up gave them`)
  return {
    request: {
      id: id?.toLowerCase() ?? makeId(),
      idTime,
      attempt: attemptText === undefined ? undefined : Number(attemptText),
      service: raw.service,
      caller,
      key,
      method: raw.method,
      path: raw.path,
      headers: raw.headers,
      body: raw.body,
      idempotent,
      home: idempotent ? undefined : home,
      deadlineMs: Math.min(Number(deadlineText), limits.maxDeadlineMs)
    }
  }
}

function refuse (reason: RefusalReason, message: string): ParseResult {
  return { refusal: buildRefusal({ outcome: Outcome.notRun, reason, message }) }
}
