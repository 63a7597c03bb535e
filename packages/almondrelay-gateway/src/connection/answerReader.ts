import { HTTPParser } from 'http-parser-js'
import type { TargetAnswerHead } from '../request/targetAnswerHead.js'
import type { AnswerMemory } from './answerMemory.js'
import type { TargetCodec } from './targetCodec.js'

/** Maximum size of an answer in bytes; a longer one is dropped, so that a single target can't exhaust the host's memory. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024
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
  private bytes = 0
  private isWithinMemory = true
  /** Whether the answer to the pending request has no body, as for HEAD. */
  isBodiless = false

  constructor (codec: TargetCodec, private readonly memory: AnswerMemory, private readonly handleAnswer: (answer: CompleteAnswer) => void) {
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => {
      if (info.statusCode < FIRST_FINAL_STATUS) return 1
      this.head = codec.decodeAnswerHead(info.statusCode, info.headers, info.shouldKeepAlive)
      return this.isBodiless ? 1 : 0
    }
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      this.bytes += length
      if (!this.memory.hold(length)) this.isWithinMemory = false
      this.chunks.push(chunk.subarray(offset, offset + length))
    }
    this.parser[HTTPParser.kOnMessageComplete] = () => { this.finishAnswer() }
  }

  /** Parses received bytes; returns false if they are not a valid answer, or if the answer exceeds a size or memory bound. */
  acceptBytes (bytes: Buffer): boolean {
    return typeof this.parser.execute(bytes) === 'number' && this.bytes <= MAX_ANSWER_BYTES && this.isWithinMemory
  }

  /** Drops a partially received answer. */
  drop (): void {
    this.memory.release(this.bytes)
    this.chunks = []
    this.bytes = 0
    this.isWithinMemory = true
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
