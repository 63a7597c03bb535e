import { z } from 'zod'
import type { OperatorClient } from './operatorClient.js'
import { parseAnswer } from './parseAnswer.js'
import { ShownResource } from './shownResource.js'

const ResourceList = z.looseObject({ revision: z.number(), resources: z.array(ShownResource) })

/** Fetches all resources of a kind, sorted by name. */
export async function fetchResources (client: OperatorClient, kind: string): Promise<ShownResource[]> {
  const answer = await client.sendIdempotent({ method: 'GET', path: `/v1/resources/${kind}` })
  return parseAnswer(answer, ResourceList, `the list of ${kind}`).resources.sort((left, right) => left.name.localeCompare(right.name))
}
