import { HostStatus } from './hostStatus.js'
import type { OperatorClient } from './operatorClient.js'
import { parseAnswer } from './parseAnswer.js'

/** Fetches the status of the deployment as seen by the host that answers. */
export async function fetchStatus (client: OperatorClient): Promise<HostStatus> {
  return parseAnswer(await client.sendIdempotent({ method: 'GET', path: '/v1/status' }), HostStatus, 'the status')
}
