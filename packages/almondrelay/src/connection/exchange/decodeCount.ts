import { makeRefusal } from './makeRefusal.js'
import { PeerRefusal } from './peerRefusal.js'

/** Converts a 64-bit count to a number; throws a refusal if a number can't represent it. */
export function decodeCount (count: bigint): number {
  if (count > BigInt(Number.MAX_SAFE_INTEGER)) throw makeRefusal(PeerRefusal.malformed, `the count ${count} is past what a revision or incarnation can be`)
  return Number(count)
}
