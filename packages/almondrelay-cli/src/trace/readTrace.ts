import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { AlmondrelayError, ErrorKind } from 'almondrelay'
import { TraceLine } from './traceLine.js'

interface NumberedLine {
  file: string
  /** From 1. */
  number: number
  line: TraceLine
}

/**
 * The decisions in log files, one after the other; other log lines and broken ones, such as the
 * last line of a host that was killed, are passed over.
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
  if (!text.includes('"decision"')) return undefined
  try {
    return TraceLine.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
