import { ConnectError } from '@connectrpc/connect'
import { PeerRefusal } from './peerRefusal.js'
import { REFUSAL_HEADER } from './refusalHeader.js'

const REFUSALS: readonly string[] = Object.values(PeerRefusal)

/** Returns the peer's refusal in an error; undefined if the error is not a typed refusal, e.g. because the peer did not answer. */
export function findRefusal (error: unknown): PeerRefusal | undefined {
  if (!(error instanceof ConnectError)) return undefined
  const refusal = error.metadata.get(REFUSAL_HEADER) ?? ''
  return REFUSALS.includes(refusal) ? refusal as PeerRefusal : undefined
}
