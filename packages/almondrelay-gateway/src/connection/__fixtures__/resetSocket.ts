import type { Socket } from 'node:net'

/** Ends a connection by a reset alone; `Socket.resetAndDestroy` ends the stream in the ordinary way first where nothing waits to be written. */
export function resetSocket (socket: Socket): void {
  const { _handle: handle } = socket as unknown as { _handle: { reset: (done: () => void) => void } }
  handle.reset(() => { socket.destroy() })
}
