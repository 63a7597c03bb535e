import { HostStatus } from './hostStatus.js'
import type { OperatorClient } from './operatorClient.js'
import { parseAnswer } from './parseAnswer.js'

/** The deployment as the host that answers sees it. */
export async function fetchStatus (client: OperatorClient): Promise<HostStatus> {
  return parseAnswer(await client.ask({ method: 'GET', path: '/v1/status' }), HostStatus, 'the status')
}
