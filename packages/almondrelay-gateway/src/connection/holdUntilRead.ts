import type { ServerResponse } from 'node:http'
import { HeldBytes } from './heldBytes.js'
import type { MessageMemory } from './messageMemory.js'
import { READ_TIMEOUT_MS } from './readTimeoutMs.js'

/** Size of an answer body, in bytes, from which it is counted: smaller ones fit into the kernel's buffer of a connection. */
const MIN_COUNTED_BYTES = 16 * 1024

/**
 * Counts the body of an answer until its receiver has it or has closed the connection. One that stops reading would otherwise hold the
 * memory for ever: its connection is closed after the timeout.
 */
export function holdUntilRead (memory: MessageMemory, response: ServerResponse, bytes: number, timeoutMs = READ_TIMEOUT_MS): void {
  if (bytes < MIN_COUNTED_BYTES || response.destroyed) return
  const held = new HeldBytes(memory)
  held.hold(bytes)
  const { socket } = response.req
  const timer = setTimeout(() => { response.destroy() }, timeoutMs)
  const release = (): void => {
    clearTimeout(timer)
    held.release()
    response.off('close', release)
    socket.off('close', release)
  }
  response.once('close', release)
  // A response that waits behind another one on its connection gets no event when the connection ends.
  socket.once('close', release)
}
