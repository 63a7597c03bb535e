import type { Socket } from 'node:net'

/**
 * Resets a connection, or destroys it where its end was sent already.
 *
 * Node.js 20 loses the handle of a socket that is reset after its end was sent: the reset fails with EINVAL, the socket
 * never closes, and the process spins at its exit for ever, waiting for a handle that nothing closes any more.
 */
export function resetOrDestroy (socket: Socket): void {
  if (socket.writable) socket.resetAndDestroy()
  else socket.destroy()
}
