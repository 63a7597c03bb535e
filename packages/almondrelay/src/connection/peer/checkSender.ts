import { Code, ConnectError } from '@connectrpc/connect'
import type { Sender } from 'almondrelay-protocol'
import { PROTOCOL_VERSION } from '../../process/dispatch/protocolVersion.js'

/** Throws an error if a message names no sender or has another protocol version. */
export function checkSender (sender: Sender | undefined): asserts sender is Sender {
  if (sender === undefined || sender.host === '') throw new ConnectError('the message names no sender: set sender.host', Code.InvalidArgument)
  if (sender.protocolVersion !== PROTOCOL_VERSION) {
    throw new ConnectError(`protocol version ${sender.protocolVersion} of host ${sender.host} is not ${PROTOCOL_VERSION}: run the same version on both hosts`, Code.Unimplemented)
  }
}
