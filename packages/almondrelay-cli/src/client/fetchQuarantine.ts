import { z } from 'zod'
import type { OperatorClient } from './operatorClient.js'
import { parseAnswer } from './parseAnswer.js'
import { QuarantinedRequest } from './quarantinedRequest.js'

const Quarantine = z.object({ requests: z.array(QuarantinedRequest) })

/** Fetches the requests that were running when targets exited, as known to the host that answers. */
export async function fetchQuarantine (client: OperatorClient): Promise<QuarantinedRequest[]> {
  return parseAnswer(await client.sendIdempotent({ method: 'GET', path: '/v1/quarantine' }), Quarantine, 'the quarantine').requests
}
