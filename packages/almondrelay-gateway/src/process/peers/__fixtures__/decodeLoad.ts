import { decodeDatagram } from '../decodeDatagram.js'
import type { PeerReport } from '../peerReport.js'

/** The report of a host's load in a datagram; undefined where it holds none. */
export function decodeLoad (bytes: Uint8Array): PeerReport | undefined {
  const message = decodeDatagram(bytes)
  return message?.kind === 'load' ? message.report : undefined
}
