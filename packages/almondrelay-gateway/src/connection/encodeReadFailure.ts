import { STATUS_CODES } from 'node:http'
import { ReadFailure } from './readFailure.js'

const STATUSES: Record<ReadFailure, number> = {
  [ReadFailure.late]: 408,
  [ReadFailure.headTooLong]: 431,
  [ReadFailure.bodyTooLong]: 413,
  [ReadFailure.malformed]: 400,
  [ReadFailure.afterLast]: 400
}

/** Encodes the whole answer to a request that could not be read; it closes the connection. */
export function encodeReadFailure (failure: ReadFailure): string {
  const status = STATUSES[failure]
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`
}
