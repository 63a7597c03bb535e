import { ConnectError } from '@connectrpc/connect'
import { PeerRefusal } from './peerRefusal.js'
import { REFUSAL_HEADER } from './refusalHeader.js'

const REFUSALS: readonly string[] = Object.values(PeerRefusal)

/** The peer's refusal in an error; undefined where the peer did not answer at all. */
export function findRefusal (error: unknown): PeerRefusal | undefined {
  if (!(error instanceof ConnectError)) return undefined
  const refusal = error.metadata.get(REFUSAL_HEADER) ?? ''
  return REFUSALS.includes(refusal) ? refusal as PeerRefusal : undefined
}
