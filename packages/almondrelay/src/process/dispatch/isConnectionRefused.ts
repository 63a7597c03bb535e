import { ConnectError } from '@connectrpc/connect'

const REFUSED = 'ECONNREFUSED'

/** Whether nothing listens on the peer's address: its process has ended, and no byte of the call left this host. */
export function isConnectionRefused (error: unknown): boolean {
  if (!(error instanceof ConnectError)) return false
  const cause = error.cause
  if (cause instanceof Error && (cause as NodeJS.ErrnoException).code === REFUSED) return true
  return error.rawMessage.includes(REFUSED)
}
