import { makeRefusal } from './makeRefusal.js'
import { PeerRefusal } from './peerRefusal.js'

/** A 64-bit count as a number; refused where a number can't hold it. */
export function decodeCount (count: bigint): number {
  if (count > BigInt(Number.MAX_SAFE_INTEGER)) throw makeRefusal(PeerRefusal.malformed, `the count ${count} is past what a revision or incarnation can be`)
  return Number(count)
}
