import type { IncomingMessage } from 'node:http'
import type { BodyReadResult } from './bodyReadResult.js'

/** Reads the whole body of a request into memory, as a retry at another target needs it again. */
export function readBody (message: IncomingMessage, maxBytes: number): Promise<BodyReadResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let bytes = 0
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.byteLength
      if (bytes > maxBytes) resolve({ kind: 'too-long' })
      else chunks.push(chunk)
    })
    message.on('end', () => { resolve({ kind: 'whole', body: Buffer.concat(chunks) }) })
    message.on('close', () => { resolve({ kind: 'cut-short' }) })
  })
}
