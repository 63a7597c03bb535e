import type { HostEntry } from '../fleet/hostEntry.js'
import { DATAGRAM_OVERHEAD } from './datagramOverhead.js'
import type { PeerSocket } from './peerSocket.js'

/** Sends one datagram to all given hosts, and returns the bytes sent, headers included. */
export function sendToHosts (socket: Pick<PeerSocket, 'send'>, receivers: readonly HostEntry[], bytes: Uint8Array): number {
  for (const { ip, peerPort } of receivers) socket.send(bytes, ip, peerPort)
  return receivers.length * (bytes.byteLength + DATAGRAM_OVERHEAD)
}
