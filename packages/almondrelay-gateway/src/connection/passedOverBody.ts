import { MAX_ANSWER_BYTES } from './maxAnswerBytes.js'
import { UnsoundAnswer } from './unsoundAnswer.js'
import { UnsoundReason } from './unsoundReason.js'

/** Body of a repeated answer, which is read only to find the awaited answer behind it. */
export class PassedOverBody {
  private length = 0

  /**
   * Takes in further bytes of the body.
   *
   * @throws UnsoundAnswer if they have no end
   */
  add (bytes: Buffer): void {
    this.length += bytes.length
    if (this.length > MAX_ANSWER_BYTES) throw new UnsoundAnswer(UnsoundReason.tooLong, `a repeated answer has more than ${MAX_ANSWER_BYTES} bytes`)
  }
}
