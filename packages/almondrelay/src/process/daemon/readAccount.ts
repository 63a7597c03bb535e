import type { AccountReader } from '../account/accountReader.js'
import type { AccountReport } from '../account/accountReport.js'
import { AlmondrelayError } from '../errors/almondrelayError.js'
import { ErrorKind } from '../errors/errorKind.js'

interface AccountQuery {
  since?: string
  until?: string
}

const DEFAULT_SPAN_MS = 3_600_000

/** Reads the account of a time range given as ISO 8601 times or milliseconds since 1970; defaults to the last hour. */
export function readAccount (reader: AccountReader, query: AccountQuery, wallNow: number, signal: AbortSignal): Promise<AccountReport> {
  const until = query.until === undefined ? wallNow : parseTime('until', query.until)
  const since = query.since === undefined ? until - DEFAULT_SPAN_MS : parseTime('since', query.since)
  return reader.read(since, until, wallNow, signal)
}

function parseTime (name: string, text: string): number {
  const time = /^\d+$/.test(text) ? Number(text) : Date.parse(text)
  if (Number.isFinite(time)) return time
  throw new AlmondrelayError({ kind: ErrorKind.requestInvalid, message: `${name} is '${text.slice(0, 40)}'`, remedy: 'write an ISO 8601 time such as 2026-12-02T09:00:00Z, or milliseconds since 1970' })
}
