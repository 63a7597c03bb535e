import { MAX_ANSWER_BYTES } from './maxAnswerBytes.js'
import { UnsoundAnswer } from './unsoundAnswer.js'
import { UnsoundReason } from './unsoundReason.js'

const CONTENT_LENGTH = 'content-length'
const WHOLE_NUMBER = /^\d+$/

/**
 * Checks the lengths that the head of an answer states (RFC 9112, section 6.3).
 *
 * @param rawHeaders names and values, alternating
 * @param hasBody false if no body follows, whatever length is stated
 * @throws UnsoundAnswer
 */
export function checkLengths (rawHeaders: readonly string[], hasBody: boolean): void {
  let stated: string | undefined
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== CONTENT_LENGTH) continue
    const text = rawHeaders[index + 1] ?? ''
    if (!WHOLE_NUMBER.test(text) || !Number.isSafeInteger(Number(text))) throw new UnsoundAnswer(UnsoundReason.length, 'its length is no whole number')
    if (stated !== undefined && stated !== text) throw new UnsoundAnswer(UnsoundReason.length, 'it states several lengths')
    stated = text
  }
  if (hasBody && Number(stated ?? 0) > MAX_ANSWER_BYTES) throw new UnsoundAnswer(UnsoundReason.tooLong, `it states more than ${MAX_ANSWER_BYTES} bytes`)
}
