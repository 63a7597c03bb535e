import { decodeDatagram } from '../decodeDatagram.js'
import type { PeerReport } from '../peerReport.js'

/** Decodes the load report in a datagram. Returns undefined if it contains none. */
export function decodeLoad (bytes: Uint8Array): PeerReport | undefined {
  const message = decodeDatagram(bytes)
  return message?.kind === 'load' ? message.report : undefined
}
