import { Code, ConnectError } from '@connectrpc/connect'
import { PeerRefusal } from './peerRefusal.js'
import { PROTOCOL_VERSION } from '../../process/dispatch/protocolVersion.js'
import { REFUSAL_HEADER } from './refusalHeader.js'

const codes: Record<PeerRefusal, Code> = {
  [PeerRefusal.protocolVersion]: Code.FailedPrecondition,
  [PeerRefusal.malformed]: Code.InvalidArgument,
  [PeerRefusal.staleIncarnation]: Code.Aborted,
  [PeerRefusal.nameTaken]: Code.AlreadyExists,
  [PeerRefusal.declaredGone]: Code.Aborted,
  [PeerRefusal.notReady]: Code.Unavailable
}

const remedies: Record<PeerRefusal, string> = {
  [PeerRefusal.protocolVersion]: `run the release that speaks version ${PROTOCOL_VERSION} on every host`,
  [PeerRefusal.malformed]: 'send what the protocol allows; nothing of the message was used',
  [PeerRefusal.staleIncarnation]: 'end this process: a newer one has taken its place',
  [PeerRefusal.nameTaken]: 'give each host a name of its own in its settings',
  [PeerRefusal.declaredGone]: 'start the process anew: its address refused connections, so what it held was freed',
  [PeerRefusal.notReady]: 'ask another host: this one has no configuration yet'
}

/** Creates the typed refusal of a peer's message; the error text includes the remedy. */
export function makeRefusal (refusal: PeerRefusal, found: string): ConnectError {
  return new ConnectError(`${found}: ${remedies[refusal]}`, codes[refusal], { [REFUSAL_HEADER]: refusal })
}
