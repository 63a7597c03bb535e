import type { OperatorClient } from './operatorClient.js'
import { parseAnswer } from './parseAnswer.js'
import { ShownResource } from './shownResource.js'

/** Fetches a resource with its status; undefined if it does not exist. */
export async function fetchResource (client: OperatorClient, kind: string, name: string): Promise<ShownResource | undefined> {
  const answer = await client.sendIdempotent({ method: 'GET', path: `/v1/resources/${kind}/${encodeURIComponent(name)}` })
  return answer.status === 404 ? undefined : parseAnswer(answer, ShownResource, `${kind}/${name}`)
}
