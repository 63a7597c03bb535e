import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { match } from 'ts-pattern'
import { AlmondrelayError, ErrorKind } from 'almondrelay'
import type { HttpAnswer } from './httpAnswer.js'
import type { HttpCall } from './httpCall.js'
import type { OperatorClient } from './operatorClient.js'
import { WriteAnswer } from './writeAnswer.js'
import type { WriteOutcome } from './writeOutcome.js'
import { WriteState } from './writeState.js'

interface ResourceWrite {
  method: 'PUT' | 'DELETE'
  kind: string
  name: string
  spec?: unknown
  /** Revision to replace; undefined if no resource of this name may exist. */
  revision: number | undefined
  author: string
}

/** Number of times that a write is sent and then looked up, and the delay between them, before its outcome is reported as unknown. */
const MAX_ATTEMPTS = 5
const ATTEMPT_DELAY_MS = 300
/** Longer than the 5 s for which a host itself tries to determine the outcome of a write. */
const WRITE_TIMEOUT_MS = 8_000

/**
 * Writes or deletes a resource. If the answer is lost, the write is looked up by its id, and sent again under the same id
 * if it was not stored.
 *
 * Without the look-up a lost answer would be reported as a failure although the change is in force. `absent` does not mean
 * that the write was refused, since the first message may still be in transit; but the hosts store each write id only once,
 * so the answer to the second message holds for both.
 */
export async function writeResource (client: OperatorClient, write: ResourceWrite, signal: AbortSignal): Promise<WriteOutcome> {
  const writeId = randomUUID()
  const call = buildCall(write, writeId)
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const outcome = toOutcome(await client.write(call), writeId)
    if (outcome !== undefined) return outcome
    const state = await fetchWriteState(client, writeId)
    if (state?.outcome === 'accepted') return { outcome: 'accepted', revision: state.revision, writeId }
    await sleep(ATTEMPT_DELAY_MS, undefined, { signal })
  }
  return { outcome: 'unknown', writeId }
}

const buildCall = (write: ResourceWrite, writeId: string): HttpCall => ({
  method: write.method,
  path: `/v1/resources/${write.kind}/${encodeURIComponent(write.name)}`,
  headers: {
    ...(write.revision === undefined ? { 'if-none-match': '*' } : { 'if-match': `"${write.revision}"` }),
    'almondrelay-author': write.author,
    'almondrelay-write-id': writeId
  },
  timeoutMs: WRITE_TIMEOUT_MS,
  ...(write.method === 'PUT' ? { body: write.spec } : {})
})

// Undefined if the answer does not say whether the write was stored.
const toOutcome = (answer: HttpAnswer | undefined, writeId: string): WriteOutcome | undefined => {
  if (answer === undefined) return undefined
  const parsed = WriteAnswer.safeParse(answer.body)
  if (!parsed.success) throw makeAnswerError(answer, writeId)
  return match(parsed.data)
    .with({ outcome: 'accepted' }, ({ revision }): WriteOutcome => ({ outcome: 'accepted', revision, writeId }))
    .with({ outcome: 'conflict' }, ({ revision }): WriteOutcome => ({ outcome: 'conflict', revision }))
    .with({ outcome: 'rejected' }, ({ problems }): WriteOutcome => ({ outcome: 'rejected', problems }))
    .with({ outcome: 'missing' }, (): WriteOutcome => ({ outcome: 'missing' }))
    .with({ outcome: 'unknown' }, () => undefined)
    .exhaustive()
}

const fetchWriteState = async (client: OperatorClient, writeId: string): Promise<WriteState | undefined> => {
  const answer = await client.sendIdempotent({ method: 'GET', path: `/v1/writes/${writeId}` }).catch(() => undefined)
  return WriteState.safeParse(answer?.body).data
}

const makeAnswerError = (answer: HttpAnswer, writeId: string): AlmondrelayError => new AlmondrelayError({
  kind: ErrorKind.writeUnknown,
  message: `${answer.address} answered ${answer.status} with ${JSON.stringify(answer.body)}, which does not say whether the write was stored`,
  remedy: `ask with almondrelay outcome ${writeId}, and use the almondrelay of the same version as the hosts`
})
