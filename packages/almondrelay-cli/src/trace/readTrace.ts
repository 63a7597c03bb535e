import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { AlmondrelayError, ErrorKind } from 'almondrelay'
import { RequestLine } from './requestLine.js'
import { TraceLine } from './traceLine.js'

interface NumberedLine {
  file: string
  /** Line number, from 1. */
  number: number
  line: TraceLine
}

/**
 * Reads the decisions in log files, one after the other. Other log lines and broken ones, such as the last line of a host
 * that was killed, are skipped.
 *
 * @throws AlmondrelayError of kind `request-invalid` where a file can't be read.
 */
export async function * readTrace (files: readonly string[]): AsyncGenerator<NumberedLine> {
  for (const file of files) {
    let number = 0
    try {
      for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
        number += 1
        const line = parseLine(text)
        if (line !== undefined) yield { file, number, line }
      }
    } catch (error) {
      throw new AlmondrelayError({ kind: ErrorKind.requestInvalid, message: `${file} can't be read (${(error as Error).message})`, remedy: 'name a log file of almondrelayd', cause: error as Error })
    }
  }
}

const parseLine = (text: string): TraceLine | undefined => {
  const isRequest = text.includes('"msg":"request')
  if (!isRequest && !text.includes('"decision"')) return undefined
  try {
    const value: unknown = JSON.parse(text)
    return isRequest ? toTraceLine(RequestLine.safeParse(value).data) : TraceLine.safeParse(value).data
  } catch {
    return undefined
  }
}

// A host that runs the gateway writes one line for all decisions about a request.
const toTraceLine = (line: RequestLine | undefined): TraceLine | undefined => line === undefined
  ? undefined
  : { time: line.time, host: line.host, decision: 'request', requestId: line.id, input: line, output: null }
