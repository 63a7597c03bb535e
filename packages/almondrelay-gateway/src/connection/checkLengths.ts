import { MAX_ANSWER_BYTES } from './maxAnswerBytes.js'
import { UnsoundAnswer } from './unsoundAnswer.js'
import { UnsoundReason } from './unsoundReason.js'

const CONTENT_LENGTH = 'content-length'
const TRANSFER_ENCODING = 'transfer-encoding'
const CHUNKED = 'chunked'
const WHOLE_NUMBER = /^\d+$/

/**
 * Checks what the head of an answer says of the length of its body (RFC 9112, section 6).
 *
 * @param rawHeaders names and values, alternating
 * @param hasBody false if no body follows, whatever length is stated
 * @throws UnsoundAnswer
 */
export function checkLengths (rawHeaders: readonly string[], hasBody: boolean): void {
  let stated: string | undefined
  let isChunked = false
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const rawName = rawHeaders[index] ?? ''
    if (rawName.length !== CONTENT_LENGTH.length && rawName.length !== TRANSFER_ENCODING.length) continue
    const name = rawName.toLowerCase()
    const text = rawHeaders[index + 1] ?? ''
    if (name === TRANSFER_ENCODING) {
      if (isChunked || text.toLowerCase() !== CHUNKED) throw new UnsoundAnswer(UnsoundReason.encoding, 'its transfer encoding is not chunked')
      isChunked = true
    }
    if (name !== CONTENT_LENGTH) continue
    if (!WHOLE_NUMBER.test(text) || !Number.isSafeInteger(Number(text))) throw new UnsoundAnswer(UnsoundReason.length, 'its length is no whole number')
    if (stated !== undefined && stated !== text) throw new UnsoundAnswer(UnsoundReason.length, 'it states several lengths')
    stated = text
  }
  if (isChunked && stated !== undefined) throw new UnsoundAnswer(UnsoundReason.encoding, 'it has a length and chunks')
  if (hasBody && Number(stated ?? 0) > MAX_ANSWER_BYTES) throw new UnsoundAnswer(UnsoundReason.tooLong, `it states more than ${MAX_ANSWER_BYTES} bytes`)
}
