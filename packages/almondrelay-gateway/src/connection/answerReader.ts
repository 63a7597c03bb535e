import { HTTPParser } from 'http-parser-js'
import type { TargetAnswerHead } from '../request/targetAnswerHead.js'
import type { AnswerMemory } from './answerMemory.js'
import { checkHeaders } from './checkHeaders.js'
import { checkLengths } from './checkLengths.js'
import { HeldBytes } from './heldBytes.js'
import { MAX_ANSWER_BYTES } from './maxAnswerBytes.js'
import type { TargetCodec } from './targetCodec.js'
import { UnsoundAnswer } from './unsoundAnswer.js'
import { UnsoundReason } from './unsoundReason.js'

// The parser's default, ASCII, drops the highest bit of each byte, which makes control characters of names in UTF-8.
HTTPParser.encoding = 'latin1'

/** First status of a final answer: lower ones are interim, and the final answer follows. */
const FIRST_FINAL_STATUS = 200

interface CompleteAnswer {
  head: TargetAnswerHead
  body: Buffer
}

/** Parses successive HTTP answers from the bytes of a connection to a target. */
export class AnswerReader {
  private readonly parser = new HTTPParser(HTTPParser.RESPONSE)
  private head: TargetAnswerHead | undefined
  private chunks: Buffer[] = []
  private readonly held: HeldBytes
  /** Whether the answer to the pending request has no body, as for HEAD. */
  isBodiless = false

  constructor (codec: TargetCodec, memory: AnswerMemory, private readonly handleAnswer: (answer: CompleteAnswer) => void) {
    this.held = new HeldBytes(memory)
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => {
      checkHeaders(info.headers)
      checkLengths(info.headers, !this.isBodiless)
      if (info.statusCode < FIRST_FINAL_STATUS) return 1
      this.head = codec.decodeAnswerHead(info.statusCode, info.headers, info.shouldKeepAlive)
      return this.isBodiless ? 1 : 0
    }
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      const bytes = chunk.subarray(offset, offset + length)
      this.chunks.push(bytes)
      const hasRoom = this.held.hold(bytes.length)
      if (this.held.count > MAX_ANSWER_BYTES) throw new UnsoundAnswer(UnsoundReason.tooLong, `it has more than ${MAX_ANSWER_BYTES} bytes`)
      if (!hasRoom) throw new UnsoundAnswer(UnsoundReason.noRoom, 'this host has no room for it')
    }
    this.parser[HTTPParser.kOnMessageComplete] = () => { this.finishAnswer() }
  }

  /**
   * Parses received bytes.
   *
   * @throws UnsoundAnswer if they are no answer, or one that exceeds a bound; the connection is then to be closed
   */
  acceptBytes (bytes: Buffer): void {
    const parsed = this.parser.execute(bytes)
    if (typeof parsed !== 'number') throw new UnsoundAnswer(UnsoundReason.syntax, 'its bytes are not HTTP')
  }

  /** Drops a partially received answer. */
  drop (): void {
    this.held.release()
    this.chunks = []
  }

  /** Handles the end of the connection: it completes an answer without a length and truncates any other one. */
  finishStream (): void {
    this.parser.finish()
  }

  private finishAnswer (): void {
    const { head } = this
    if (head === undefined) return
    const body = this.chunks.length === 1 ? this.chunks[0] as Buffer : Buffer.concat(this.chunks)
    this.head = undefined
    this.drop()
    this.handleAnswer({ head, body })
  }
}
