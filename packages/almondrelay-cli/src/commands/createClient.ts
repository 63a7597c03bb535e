import { AlmondrelayError, ErrorKind } from 'almondrelay'
import { OperatorClient } from '../client/operatorClient.js'
import type { Terminal } from '../common/terminal.js'

const ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/

/**
 * Creates a client for the hosts given with --operator, or else in ALMONDRELAY_OPERATOR.
 *
 * @throws AlmondrelayError of kind `request-invalid` if no host is given, or one of them is not an address.
 */
export function createClient (terminal: Terminal, operator: readonly string[] | undefined): OperatorClient {
  const addresses = operator ?? (terminal.environment.ALMONDRELAY_OPERATOR ?? '').split(',').filter((address) => address !== '')
  if (addresses.length === 0) throw makeError('no host is given')
  const invalid = addresses.find((address) => !ADDRESS.test(address))
  if (invalid !== undefined) throw makeError(`'${invalid}' is not an address`)
  return new OperatorClient(addresses, terminal.signal)
}

const makeError = (message: string): AlmondrelayError => new AlmondrelayError({
  kind: ErrorKind.requestInvalid,
  message,
  remedy: 'write --operator 10.1.1.11:8082, the IP address and operator port of a host'
})
