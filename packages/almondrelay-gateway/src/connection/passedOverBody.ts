import { hasStatusLine } from './hasStatusLine.js'
import { MAX_ANSWER_BYTES } from './maxAnswerBytes.js'
import { UnsoundAnswer } from './unsoundAnswer.js'
import { UnsoundReason } from './unsoundReason.js'

/** Last bytes of what has been searched, in which a status line may begin: one less than "HTTP/1.1 200" has. */
const TAIL_BYTES = 11

/**
 * Body of a repeated answer, which is read only to find the awaited answer behind it. If the repeated answer was cut, the awaited one
 * counts as a part of this body, which its status line shows.
 */
export class PassedOverBody {
  private tail: Buffer = Buffer.alloc(0)
  private length = 0

  /**
   * Takes in further bytes of the body.
   *
   * @throws UnsoundAnswer if they hold a status line, or have no end
   */
  add (bytes: Buffer): void {
    this.length += bytes.length
    if (this.length > MAX_ANSWER_BYTES) throw new UnsoundAnswer(UnsoundReason.tooLong, `a repeated answer has more than ${MAX_ANSWER_BYTES} bytes`)
    const searched = Buffer.concat([this.tail, bytes])
    if (hasStatusLine(searched)) throw new UnsoundAnswer(UnsoundReason.repeated, 'it lies within a repeated answer that was cut')
    this.tail = searched.subarray(Math.max(0, searched.length - TAIL_BYTES))
  }
}
