const STATUS_LINE = /^HTTP\/1\.\d [1-5]\d\d(?: [\t\x20-\x7e\x80-\xff]*)?$/

/** Whether a line without its end begins an answer of HTTP/1 (RFC 9112, section 4), with a status that HTTP knows (RFC 9110, section 15). */
export function isStatusLine (line: string): boolean {
  return STATUS_LINE.test(line)
}
