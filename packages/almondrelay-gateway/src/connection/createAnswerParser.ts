import { HTTPParser } from 'http-parser-js'
import { AnswerLineChecker } from './answerLineChecker.js'

type Parser = InstanceType<typeof HTTPParser>

/** What the parser reads lines with; its type declarations hide these members. */
interface LineReader {
  state: Parameters<AnswerLineChecker['check']>[0]
  /** Beginning of a line whose end has not been received. */
  line: string
  consumeLine: () => string | undefined
}

// The parser's default, ASCII, drops the highest bit of each byte, which makes control characters of names in UTF-8.
HTTPParser.encoding = 'latin1'

/**
 * Creates a parser of answers that refuses what RFC 9112 doesn't allow. The library's parser takes any text as the size of a chunk and
 * leaves out lines that are no headers, so that a part of an answer could count as a whole one.
 */
export function createAnswerParser (): Parser {
  const parser = new HTTPParser(HTTPParser.RESPONSE)
  const reader = parser as unknown as LineReader
  const checker = new AnswerLineChecker()
  const { consumeLine } = reader
  reader.consumeLine = () => {
    const { state } = reader
    const line = consumeLine.call(reader)
    if (line === undefined) checker.checkUnfinished(state, reader.line.length)
    else checker.check(state, line)
    return line
  }
  return parser
}
