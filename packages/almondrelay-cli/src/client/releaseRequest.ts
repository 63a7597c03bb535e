import { z } from 'zod'
import type { OperatorClient } from './operatorClient.js'
import { parseAnswer } from './parseAnswer.js'

const Released = z.object({ outcome: z.literal('released') })

/**
 * Ends the quarantine of one request at all hosts. The call is idempotent.
 *
 * @throws AlmondrelayError of kind `resource-missing` where the host knows no such request.
 */
export async function releaseRequest (client: OperatorClient, fingerprint: string): Promise<void> {
  parseAnswer(await client.sendIdempotent({ method: 'DELETE', path: `/v1/quarantine/${encodeURIComponent(fingerprint)}` }), Released, `request ${fingerprint}`)
}
