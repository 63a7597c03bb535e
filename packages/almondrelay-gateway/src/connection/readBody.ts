import type { IncomingMessage } from 'node:http'
import type { BodyReadResult } from './bodyReadResult.js'

/** Reads the body of a request into memory: a repeat at another target needs it whole. */
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
