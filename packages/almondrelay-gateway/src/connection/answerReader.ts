import { HTTPParser } from 'http-parser-js'
import type { TargetAnswerHead } from '../request/targetAnswerHead.js'
import type { AnswerUse } from './answerUse.js'
import { BODILESS_STATUSES } from './bodilessStatuses.js'
import { BodyBuffer } from './bodyBuffer.js'
import { checkLengths } from './checkLengths.js'
import { createAnswerParser } from './createAnswerParser.js'
import { HeldBytes } from './heldBytes.js'
import { MAX_ANSWER_BYTES } from './maxAnswerBytes.js'
import type { MessageMemory } from './messageMemory.js'
import type { PassedOverBody } from './passedOverBody.js'
import type { Receiving } from './receiving.js'
import type { TargetCodec } from './targetCodec.js'
import { UnsoundAnswer } from './unsoundAnswer.js'
import { UnsoundReason } from './unsoundReason.js'

/** First status of a final answer: lower ones are interim, and the final answer follows. */
const FIRST_FINAL_STATUS = 200
/** Status by which a target would change the protocol, which no request asks for. */
const SWITCHING_STATUS = 101
/** Interim answers before a final one. */
const MAX_INTERIM = 16

/** Members of the parser that its type declarations hide. */
interface ParserState {
  state: string
  /** Beginning of a line whose end has not been received. */
  line: string
}

interface ReaderOptions {
  /** Address of the target, and what gives up the connection to make room for answers of others. */
  receiving?: Receiving
  /**
   * Decides at the end of a final answer's head what becomes of it; by default every answer is handed on.
   *
   * @throws UnsoundAnswer if neither this answer nor what follows it is of any use
   */
  sortAnswer?: (head: TargetAnswerHead) => AnswerUse
}

interface CompleteAnswer {
  head: TargetAnswerHead
  body: Buffer
}

/** Parses successive HTTP answers from the bytes of a connection to a target. */
export class AnswerReader {
  private readonly parser = createAnswerParser()
  private head: TargetAnswerHead | undefined
  private interim = 0
  private readonly body = new BodyBuffer()
  private readonly held: HeldBytes
  private passedOver: PassedOverBody | undefined

  constructor (codec: TargetCodec, memory: MessageMemory, private readonly handleAnswer: (answer: CompleteAnswer) => void, { receiving, sortAnswer }: ReaderOptions = {}) {
    this.held = new HeldBytes(memory, receiving)
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => {
      if (info.statusCode < FIRST_FINAL_STATUS) return this.passInterim(info.statusCode, info.headers)
      const head = codec.decodeAnswerHead(info.statusCode, info.headers, info.shouldKeepAlive)
      const use = sortAnswer?.(head)
      const hasBody = use?.isBodiless !== true && !BODILESS_STATUSES.includes(info.statusCode)
      checkLengths(info.headers, hasBody)
      this.interim = 0
      this.head = head
      this.passedOver = use?.passedOver
      return hasBody ? 0 : 1
    }
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => { this.acceptBody(chunk.subarray(offset, offset + length)) }
    this.parser[HTTPParser.kOnMessageComplete] = () => { this.finishAnswer() }
  }

  /** Whether no part of an answer has been received since the last one was complete; line ends between answers are none. */
  get isBetweenAnswers (): boolean {
    const { state, line } = this.parser as unknown as ParserState
    return state === 'RESPONSE_LINE' && (line === '' || line === '\r') && this.interim === 0
  }

  /**
   * Parses received bytes.
   *
   * @throws UnsoundAnswer if they are no answer, or one that exceeds a bound; the connection is then to be closed
   */
  acceptBytes (bytes: Buffer): void {
    const parsed = this.parser.execute(bytes)
    if (parsed instanceof UnsoundAnswer) throw parsed
    if (typeof parsed !== 'number') throw new UnsoundAnswer(UnsoundReason.syntax, 'its bytes are not HTTP')
  }

  /** Drops a partially received answer. */
  drop (): void {
    this.held.release()
    this.body.clear()
  }

  /** Handles the end of the connection: it completes an answer without a length and truncates any other one. */
  finishStream (): void {
    this.parser.finish()
  }

  private passInterim (status: number, rawHeaders: readonly string[]): number {
    checkLengths(rawHeaders, true)
    this.interim += 1
    if (status === SWITCHING_STATUS || this.interim > MAX_INTERIM) throw new UnsoundAnswer(UnsoundReason.interim, 'an interim answer that no request asks for')
    return 1
  }

  private acceptBody (bytes: Buffer): void {
    if (this.passedOver !== undefined) return this.passedOver.add(bytes)
    this.body.append(bytes)
    const hasRoom = this.held.hold(bytes.length)
    if (this.held.count > MAX_ANSWER_BYTES) throw new UnsoundAnswer(UnsoundReason.tooLong, `it has more than ${MAX_ANSWER_BYTES} bytes`)
    if (!hasRoom) throw new UnsoundAnswer(UnsoundReason.noRoom, 'this host has no room for it')
  }

  private finishAnswer (): void {
    const { head, passedOver } = this
    if (head === undefined) return
    const body = this.body.take()
    this.head = undefined
    this.passedOver = undefined
    this.drop()
    if (passedOver === undefined) this.handleAnswer({ head, body })
  }
}
