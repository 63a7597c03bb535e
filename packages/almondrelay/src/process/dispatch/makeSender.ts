import type { HostIdentity } from './hostIdentity.js'
import { PROTOCOL_VERSION } from './protocolVersion.js'
import type { PeerSender } from './peerSender.js'

/** Builds the sender field of messages from this host to peers. */
export function makeSender (identity: HostIdentity): PeerSender {
  return { ...identity, incarnation: BigInt(identity.incarnation), protocolVersion: PROTOCOL_VERSION }
}
