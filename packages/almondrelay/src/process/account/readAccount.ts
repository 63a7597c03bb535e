import { AlmondrelayError } from '../errors/almondrelayError.js'
import { ErrorKind } from '../errors/errorKind.js'
import type { Platform } from '../platform/platform.js'
import { AccountReader } from './accountReader.js'
import type { AccountReport } from './accountReport.js'

interface AccountQuery {
  /** Milliseconds since the Unix epoch, or a time in ISO 8601; an hour before `until` where absent. */
  since?: string
  /** The same; now where absent. */
  until?: string
}

const DEFAULT_SPAN_MS = 3_600_000
const MAX_SPAN_MS = 31 * 24 * 3_600_000

/**
 * Answers `GET /v1/account`.
 *
 * @throws AlmondrelayError of kind `request-invalid` for a time that is none, or a span that is
 * empty or too long; `platform-unavailable` when the pages can't be read.
 */
export async function readAccount (platform: Platform, query: AccountQuery, wallNow: number, signal: AbortSignal): Promise<AccountReport> {
  const until = query.until === undefined ? wallNow : parseTime('until', query.until)
  const since = query.since === undefined ? until - DEFAULT_SPAN_MS : parseTime('since', query.since)
  if (until < since) throw makeError(`until (${until}) is before since (${since})`, 'give an until that is not before since')
  if (until - since > MAX_SPAN_MS) throw makeError('the span is longer than 31 days', 'ask for 31 days at a time')
  return new AccountReader(platform).read(since, until, signal, wallNow)
}

const parseTime = (name: string, text: string): number => {
  const time = /^\d+$/.test(text) ? Number(text) : Date.parse(text)
  if (Number.isSafeInteger(time)) return time
  throw makeError(`${name} is '${text.slice(0, 40)}'`, 'write milliseconds since the Unix epoch or a time such as 2026-03-04T09:00:00Z')
}

const makeError = (message: string, remedy: string): AlmondrelayError => new AlmondrelayError({ kind: ErrorKind.requestInvalid, message, remedy })
