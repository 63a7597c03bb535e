import type { Sender } from 'almondrelay-protocol'
import type { HeartbeatSender } from '../../process/membership/heartbeatSender.js'
import { ResourceName } from '../../version/resources/resourceName.js'
import { decodeCount } from './decodeCount.js'
import { makeRefusal } from './makeRefusal.js'
import { PeerRefusal } from './peerRefusal.js'
import { PROTOCOL_VERSION } from '../../process/dispatch/protocolVersion.js'

/** Decodes the sender of a message; throws a refusal if it is missing, malformed or of another protocol version. */
export function decodeSender (sender: Sender | undefined, revision: bigint): HeartbeatSender {
  if (sender === undefined) throw makeRefusal(PeerRefusal.malformed, 'the message names no sender')
  if (sender.protocolVersion !== PROTOCOL_VERSION) throw makeRefusal(PeerRefusal.protocolVersion, `the message has protocol version ${sender.protocolVersion}, this host ${PROTOCOL_VERSION}`)
  const { host, availabilityZone, region } = sender
  const isNamed = [host, availabilityZone, region].every((name) => ResourceName.safeParse(name).success)
  const incarnation = decodeCount(sender.incarnation)
  if (!isNamed || incarnation === 0) throw makeRefusal(PeerRefusal.malformed, 'the sender has no proper name, zone, region or incarnation')
  return { host, availabilityZone, region, incarnation, revision: decodeCount(revision) }
}
