import { isHeaderLine } from './isHeaderLine.js'
import { isStatusLine } from './isStatusLine.js'

/**
 * Finds what is wrong with the head of an answer; undefined if nothing is.
 *
 * @param head status line and headers, one character a byte, without the empty line at their end
 */
export function findHeadFault (head: string): string | undefined {
  const [statusLine = '', ...lines] = head.split('\r\n')
  if (!isStatusLine(statusLine)) return 'its first line is no status line'
  return lines.every(isHeaderLine) ? undefined : 'a line of its head is no header'
}
