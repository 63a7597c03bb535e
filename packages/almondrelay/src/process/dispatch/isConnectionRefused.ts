/** Maximum number of nested causes that are examined. */
const MAX_CAUSE_DEPTH = 8

/**
 * Returns whether an error, or one of its nested causes, is a refused connection (ECONNREFUSED). Resets, timeouts and
 * closed sessions don't count, because the process at the address may still be running.
 */
export function isConnectionRefused (error: unknown): boolean {
  let cause = error
  for (let depth = 0; depth < MAX_CAUSE_DEPTH && typeof cause === 'object' && cause !== null; depth++) {
    if ('code' in cause && cause.code === 'ECONNREFUSED') return true
    cause = 'cause' in cause ? cause.cause : undefined
  }
  return false
}
