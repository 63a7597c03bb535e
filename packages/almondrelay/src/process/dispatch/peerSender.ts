import type { Sender } from 'almondrelay-protocol'

/** Identity of the sending host, as contained in each message to a peer. */
export type PeerSender = Pick<Sender, 'host' | 'incarnation' | 'availabilityZone' | 'region' | 'protocolVersion'>
