const MAX_DEPTH = 8

/**
 * Whether an error, or a cause under it, says that the address refused the connection. A reset, a
 * time-out or a closed session doesn't say so: a live process may be behind each of them.
 */
export function isConnectionRefused (error: unknown): boolean {
  let cause = error
  for (let depth = 0; depth < MAX_DEPTH && typeof cause === 'object' && cause !== null; depth++) {
    if ('code' in cause && cause.code === 'ECONNREFUSED') return true
    cause = 'cause' in cause ? cause.cause : undefined
  }
  return false
}
