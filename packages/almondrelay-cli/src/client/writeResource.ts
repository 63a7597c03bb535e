import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { match, P } from 'ts-pattern'
import { z } from 'zod'
import { AlmondrelayError, ErrorKind } from 'almondrelay'
import type { HttpAnswer } from './httpAnswer.js'
import type { OperatorClient } from './operatorClient.js'
import type { WriteOutcome } from './writeOutcome.js'
import { WriteProblem } from './writeProblem.js'

interface ResourceWrite {
  method: 'PUT' | 'DELETE'
  kind: string
  name: string
  spec?: unknown
  /** The revision that is replaced; undefined where there must be no resource of the name. */
  revision: number | undefined
  author: string
}

/** How often, and how long apart, a lost write is asked after before it is told as unknown. */
const LOOK_UPS = 5
const LOOK_UP_PAUSE_MS = 300

const Accepted = z.looseObject({ outcome: z.literal('accepted'), revision: z.number() })
const Rejected = z.looseObject({ problems: z.array(WriteProblem) })
const Unknown = z.looseObject({ outcome: z.literal('unknown') })
const Conflict = z.looseObject({ revision: z.number() })

/** Writes or deletes a resource, and finds out what became of it when the answer is lost. */
export async function writeResource (client: OperatorClient, write: ResourceWrite, signal: AbortSignal): Promise<WriteOutcome> {
  const writeId = randomUUID()
  const answer = await client.write({
    method: write.method,
    path: `/v1/resources/${write.kind}/${encodeURIComponent(write.name)}`,
    headers: { ...makeCondition(write.revision), 'almondrelay-author': write.author, 'almondrelay-write-id': writeId },
    ...(write.method === 'PUT' ? { body: write.spec } : {})
  })
  if (answer === undefined || Unknown.safeParse(answer.body).success) return findLostWrite(client, writeId, signal)
  return match(answer.status)
    .with(200, (): WriteOutcome => ({ outcome: 'accepted', revision: readBody(answer, Accepted).revision, writeId }))
    .with(400, 413, (): WriteOutcome => ({ outcome: 'rejected', problems: readBody(answer, Rejected).problems }))
    .with(409, 412, (): WriteOutcome => ({ outcome: 'conflict', revision: readBody(answer, Conflict).revision }))
    .with(404, (): WriteOutcome => ({ outcome: 'conflict', revision: 0 }))
    .with(P.number, () => { throw makeAnswerError(answer) })
    .exhaustive()
}

// "absent" is no refusal: the host that took the write may be slow to store it, so a write that
// is absent now can be in force a moment later. Only "accepted" is definitive.
const findLostWrite = async (client: OperatorClient, writeId: string, signal: AbortSignal): Promise<WriteOutcome> => {
  for (let look = 0; look < LOOK_UPS; look += 1) {
    const answer = await client.ask({ method: 'GET', path: `/v1/writes/${writeId}` }).catch(() => undefined)
    const accepted = Accepted.safeParse(answer?.body)
    if (accepted.success) return { outcome: 'accepted', revision: accepted.data.revision, writeId }
    await sleep(LOOK_UP_PAUSE_MS, undefined, { signal })
  }
  return { outcome: 'unknown', writeId }
}

const makeCondition = (revision: number | undefined): Record<string, string> => revision === undefined ? { 'if-none-match': '*' } : { 'if-match': `"${revision}"` }

const readBody = <Schema extends z.ZodType>(answer: HttpAnswer, schema: Schema): z.output<Schema> => {
  const parsed = schema.safeParse(answer.body)
  if (!parsed.success) throw makeAnswerError(answer)
  return parsed.data
}

const makeAnswerError = (answer: HttpAnswer): AlmondrelayError => new AlmondrelayError({
  kind: ErrorKind.notReady,
  message: `${answer.address} answered ${answer.status} with an unknown body (${JSON.stringify(answer.body)})`,
  remedy: 'use the almondrelay of the same version as the hosts'
})
