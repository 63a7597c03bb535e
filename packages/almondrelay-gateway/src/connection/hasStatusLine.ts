const PROTOCOL_NAME = 'HTTP/1.'
const STATUS_LINE_BEGINNING = /^HTTP\/1\.\d [1-5]\d\d$/
const BEGINNING_BYTES = 12

/** Whether bytes hold the beginning of a status line, with which every answer begins. */
export function hasStatusLine (bytes: Buffer): boolean {
  for (let offset = bytes.indexOf(PROTOCOL_NAME); offset >= 0; offset = bytes.indexOf(PROTOCOL_NAME, offset + 1)) {
    if (STATUS_LINE_BEGINNING.test(bytes.toString('latin1', offset, offset + BEGINNING_BYTES))) return true
  }
  return false
}
