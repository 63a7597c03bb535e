import type { Sender } from 'almondrelay-protocol'

/** How a host names itself in messages to peers. */
export type PeerSender = Pick<Sender, 'host' | 'incarnation' | 'availabilityZone' | 'region' | 'protocolVersion'>
