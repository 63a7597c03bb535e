import type { HostIdentity } from './hostIdentity.js'
import { PROTOCOL_VERSION } from './protocolVersion.js'
import type { PeerSender } from './peerSender.js'

/** How this host names itself in messages to peers. */
export function makeSender (identity: HostIdentity): PeerSender {
  return { ...identity, incarnation: BigInt(identity.incarnation), protocolVersion: PROTOCOL_VERSION }
}
