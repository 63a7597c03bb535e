import { createHash } from 'node:crypto'

interface TargetAnswerParts {
  requestId: string
  target: string
  requestBody: Uint8Array
  /** Length of the answer; a shorter one than the parts need is as long as these. */
  answerBytes: number
}

const NO_PADDING = 2

/**
 * The body of a target's answer. Whoever knows the request and the target's name can build the
 * same bytes and so prove that an answer is whole and its own; the padding repeats the id.
 */
export function buildTargetAnswer (parts: TargetAnswerParts): string {
  const checksum = createHash('sha256').update(parts.requestBody).digest('hex')
  const head = JSON.stringify({ requestId: parts.requestId, target: parts.target, bytes: parts.requestBody.length, checksum })
  const missing = parts.answerBytes - Buffer.byteLength(head) - ',"padding":'.length - NO_PADDING
  if (missing < 1) return head
  const pattern = `${parts.requestId || parts.target}.`
  return `${head.slice(0, -1)},"padding":"${pattern.repeat(Math.ceil(missing / pattern.length)).slice(0, missing)}"}`
}
