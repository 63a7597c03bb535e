import { MAX_ANSWER_BYTES } from './maxAnswerBytes.js'
import { UnsoundAnswer } from './unsoundAnswer.js'
import { UnsoundReason } from './unsoundReason.js'

/**
 * Body of a repeated answer, which is read only to find the awaited answer behind it. If the repeated answer was cut, the awaited one
 * counts as a part of this body, which the id in its head shows.
 */
export class PassedOverBody {
  private readonly awaitedId: Buffer
  /** Last bytes of the body, in which the id may begin. */
  private tail: Buffer = Buffer.alloc(0)
  private length = 0

  constructor (awaitedId: string) {
    this.awaitedId = Buffer.from(awaitedId, 'latin1')
  }

  /**
   * Takes in further bytes of the body.
   *
   * @throws UnsoundAnswer if they hold the id of the awaited request, or have no end
   */
  add (bytes: Buffer): void {
    this.length += bytes.length
    if (this.length > MAX_ANSWER_BYTES) throw new UnsoundAnswer(UnsoundReason.tooLong, `a repeated answer has more than ${MAX_ANSWER_BYTES} bytes`)
    const searched = Buffer.concat([this.tail, bytes])
    if (searched.includes(this.awaitedId)) throw new UnsoundAnswer(UnsoundReason.repeated, 'it lies within a repeated answer that was cut')
    this.tail = searched.subarray(Math.max(0, searched.length - this.awaitedId.length + 1))
  }
}
