import type { Sender } from 'almondrelay-protocol'
import type { HostIdentity } from './hostIdentity.js'
import { PROTOCOL_VERSION } from './protocolVersion.js'

/** How this host names itself in messages to peers. */
export function makeSender (identity: HostIdentity): Pick<Sender, 'host' | 'incarnation' | 'availabilityZone' | 'region' | 'protocolVersion'> {
  return { ...identity, incarnation: BigInt(identity.incarnation), protocolVersion: PROTOCOL_VERSION }
}
