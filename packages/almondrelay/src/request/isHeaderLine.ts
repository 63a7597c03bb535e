/** A token as the name, then visible characters, blanks and obs-text. */
const HEADER_LINE = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*$/

/** Whether a line without its end is a header (RFC 9110, sections 5.5 and 5.6.2). */
export function isHeaderLine (line: string): boolean {
  return HEADER_LINE.test(line)
}
