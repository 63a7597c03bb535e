import type { IncomingMessage } from 'node:http'
import { BodyBuffer } from './bodyBuffer.js'
import type { BodyReadResult } from './bodyReadResult.js'
import { HeldBytes } from './heldBytes.js'
import type { MessageMemory } from './messageMemory.js'

/**
 * Reads the whole body of a request into memory, as a retry at another target needs it again. Its bytes count until the returned owner of
 * a whole body releases them.
 */
export function readBody (message: IncomingMessage, maxBytes: number, memory: MessageMemory): Promise<BodyReadResult> {
  return new Promise((resolve) => {
    const body = new BodyBuffer()
    let isFinished = false
    const finish = (result: BodyReadResult): void => {
      if (isFinished) return
      isFinished = true
      if (result.kind !== 'whole') held.release()
      resolve(result)
    }
    const held = new HeldBytes(memory, {
      // A system call, which a request without a body is spared.
      get sender () { return message.socket.remoteAddress ?? '' },
      abort: () => { finish({ kind: 'no-room' }) }
    })
    message.on('data', (chunk: Buffer) => {
      if (isFinished) return
      if (held.count + chunk.byteLength > maxBytes) {
        finish({ kind: 'too-long' })
        return
      }
      body.append(chunk)
      if (!held.hold(chunk.byteLength)) finish({ kind: 'no-room' })
    })
    message.on('end', () => {
      held.keep()
      finish({ kind: 'whole', body: body.take(), held })
    })
    message.on('close', () => { finish({ kind: 'cut-short' }) })
  })
}
