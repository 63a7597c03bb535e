import { isHeaderLine, isStatusLine } from 'almondrelay'
import { MAX_ANSWER_BYTES } from './maxAnswerBytes.js'
import { UnsoundAnswer } from './unsoundAnswer.js'
import { UnsoundReason } from './unsoundReason.js'

/** Characters of the size of a chunk with its extensions, and of the line end behind a chunk. */
const MAX_CHUNK_LINE = 1_024
/** Chunks of an answer: tiny ones without end would take all processor time of the host. */
const MAX_CHUNKS = 64 * 1024
/** Characters of all trailers of an answer. */
const MAX_TRAILERS = 16 * 1024
/** Empty lines before an answer: some targets send one behind a body. */
const MAX_EMPTY_LINES = 2

const FOLDED_LINE = /^[ \t][\t\x20-\x7e\x80-\xff]*$/
/** Beginning of a status line within another line: names of protocols in headers such as Via have no status behind them. */
const CONTAINED_STATUS_LINE = /.HTTP\/1\.\d [1-5]\d\d(?: |$)/
/** Quicker than the expression, which few lines have to be tested for. */
const PROTOCOL_NAME = 'HTTP/1.'
const CHUNK_LINE = /^([0-9A-Fa-f]{1,16})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?$/

/** States of the parser in which it reads a line. */
type LineState = 'RESPONSE_LINE' | 'HEADER' | 'BODY_CHUNKHEAD' | 'BODY_CHUNKEMPTYLINE' | 'BODY_CHUNKTRAILERS'

/** Checks the lines of answers on one connection (RFC 9112), which the parser takes in a wider form than the standard. */
export class AnswerLineChecker {
  private emptyLines = 0
  private chunks = 0
  private trailers = 0
  private hasHeader = false

  /**
   * Checks a line that has been received in full.
   *
   * @throws UnsoundAnswer
   */
  check (state: LineState, line: string): void {
    switch (state) {
      case 'RESPONSE_LINE': return this.checkStatusLine(line)
      case 'HEADER': return this.checkHeaderLine(line)
      case 'BODY_CHUNKHEAD': return this.checkChunkLine(line)
      case 'BODY_CHUNKEMPTYLINE': return line === '' ? undefined : this.rejectChunk('data behind a chunk')
      case 'BODY_CHUNKTRAILERS': return this.checkTrailer(line)
    }
  }

  /**
   * Checks the length of a line whose end has not been received. The parser bounds those of heads by itself.
   *
   * @throws UnsoundAnswer
   */
  checkUnfinished (state: LineState, length: number): void {
    if (state === 'BODY_CHUNKHEAD' && length > MAX_CHUNK_LINE) this.rejectChunk('a size without an end')
    if (state === 'BODY_CHUNKEMPTYLINE' && length > 1) this.rejectChunk('data behind a chunk')
    if (state === 'BODY_CHUNKTRAILERS' && this.trailers + length > MAX_TRAILERS) throw new UnsoundAnswer(UnsoundReason.tooLong, 'its trailers have no end')
  }

  private checkStatusLine (line: string): void {
    this.chunks = 0
    this.trailers = 0
    this.hasHeader = false
    if (line === '') {
      this.emptyLines += 1
      if (this.emptyLines > MAX_EMPTY_LINES) throw new UnsoundAnswer(UnsoundReason.syntax, 'empty lines in place of an answer')
      return
    }
    this.emptyLines = 0
    if (!isStatusLine(line)) throw new UnsoundAnswer(UnsoundReason.syntax, 'its first line is no status line')
    this.checkContinuation(line)
  }

  // The rest of a head that was cut in the middle of a line is not missed: the next answer on the connection continues that line, and its
  // headers count as those of the first status.
  private checkContinuation (line: string): void {
    if (line.includes(PROTOCOL_NAME, 1) && CONTAINED_STATUS_LINE.test(line)) throw new UnsoundAnswer(UnsoundReason.continued, 'it was cut, and another one continues it')
  }

  private checkHeaderLine (line: string): void {
    // The parser leaves out a line without a colon, which with a spoiled byte may be the length of the body. A control character could
    // not be sent on to the caller.
    const isSound = line === '' || isHeaderLine(line) || (this.hasHeader && FOLDED_LINE.test(line))
    if (!isSound) throw new UnsoundAnswer(UnsoundReason.header, 'a line of its head is no header')
    this.checkContinuation(line)
    this.hasHeader = true
  }

  private checkChunkLine (line: string): void {
    this.chunks += 1
    if (this.chunks > MAX_CHUNKS) throw new UnsoundAnswer(UnsoundReason.tooLong, `it has more than ${MAX_CHUNKS} chunks`)
    const size = CHUNK_LINE.exec(line)?.[1]
    if (size === undefined || line.length > MAX_CHUNK_LINE) this.rejectChunk('the size of a chunk is no hexadecimal number')
    if (Number.parseInt(size, 16) > MAX_ANSWER_BYTES) throw new UnsoundAnswer(UnsoundReason.tooLong, `a chunk has more than ${MAX_ANSWER_BYTES} bytes`)
  }

  private checkTrailer (line: string): void {
    this.trailers += line.length
    this.checkUnfinished('BODY_CHUNKTRAILERS', 0)
    if (line !== '' && !isHeaderLine(line)) throw new UnsoundAnswer(UnsoundReason.header, 'a trailer is no header')
    this.checkContinuation(line)
  }

  private rejectChunk (detail: string): never {
    throw new UnsoundAnswer(UnsoundReason.chunk, detail)
  }
}
