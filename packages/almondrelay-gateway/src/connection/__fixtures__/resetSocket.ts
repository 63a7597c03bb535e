import type { Socket } from 'node:net'

/**
 * Closes a connection by a TCP reset alone. `Socket.resetAndDestroy` first ends the stream in the ordinary way if no data is waiting
 * to be written.
 */
export function resetSocket (socket: Socket): void {
  const { _handle: handle } = socket as unknown as { _handle: { reset: (done: () => void) => void } }
  handle.reset(() => { socket.destroy() })
}
