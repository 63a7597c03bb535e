import { UnsoundAnswer } from './unsoundAnswer.js'
import { UnsoundReason } from './unsoundReason.js'

/** A token (RFC 9110, section 5.6.2). */
const NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/
/** Visible characters, blanks and obs-text (RFC 9110, section 5.5). */
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/

/**
 * Checks that the headers of an answer can be passed on as they are.
 *
 * @param rawHeaders names and values, alternating; a character stands for one byte
 * @throws UnsoundAnswer
 */
export function checkHeaders (rawHeaders: readonly string[]): void {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!NAME.test(rawHeaders[index] ?? '') || !VALUE.test(rawHeaders[index + 1] ?? '')) throw new UnsoundAnswer(UnsoundReason.header, 'a header has characters that can\'t be passed on')
  }
}
