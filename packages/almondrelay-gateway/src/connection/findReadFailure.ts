import { ReadFailure } from './readFailure.js'

const FAILURES = new Map<string, ReadFailure>([
  ['ERR_HTTP_REQUEST_TIMEOUT', ReadFailure.late],
  ['HPE_HEADER_OVERFLOW', ReadFailure.headTooLong],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', ReadFailure.bodyTooLong],
  ['HPE_CLOSED_CONNECTION', ReadFailure.afterLast]
])
/** Prefix of the codes of errors of Node's parser. */
const PARSER_PREFIX = 'HPE_'

/** Finds what an error code of Node's HTTP server says about a request; undefined for an error of the connection itself. */
export function findReadFailure (code: string | undefined): ReadFailure | undefined {
  if (code === undefined) return undefined
  return FAILURES.get(code) ?? (code.startsWith(PARSER_PREFIX) ? ReadFailure.malformed : undefined)
}
