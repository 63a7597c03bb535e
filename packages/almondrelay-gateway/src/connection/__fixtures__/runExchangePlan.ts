import * as assert from 'uvu/assert'
import type { AttemptResult } from '../../request/attemptResult.js'
import { makeTarget } from '../../request/__fixtures__/makeTarget.js'
import { MessageMemory } from '../messageMemory.js'
import type { TargetConnection } from '../targetConnection.js'
import { TargetPool } from '../targetPool.js'
import { encodePlannedAnswer } from './encodePlannedAnswer.js'
import { makeRequest } from './makeRequest.js'
import type { PlannedAnswer } from './plannedAnswer.js'
import type { PlannedExchange } from './plannedExchange.js'
import { PlainTargetCodec } from './plainTargetCodec.js'
import { readWaitPlainly } from './readWaitPlainly.js'
import type { SteppedTarget } from './steppedTarget.js'

type Encoded = ReturnType<typeof encodePlannedAnswer>

/** A request that was sent on a connection. */
interface Sent {
  id: string
  method: string
  /** Bytes that the target had written on the connection when the request was sent. */
  at: number
  first: Encoded | undefined
}

/** A connection as its target sees it. */
interface Line {
  ends: Awaited<ReturnType<SteppedTarget['waitForConnection']>>
  connection: TargetConnection
  sent: Sent[]
  /** All bytes that the target wrote, in Latin-1. */
  text: string
  /** The target writes nothing more: what it wrote last is a first answer that was cut, or one that ends with the connection. */
  isDone: boolean
}

interface PlanOutcome {
  results: AttemptResult[]
  /** For each request, whether a connection had to be opened. */
  openings: boolean[]
}

const codec = new PlainTargetCodec()
const KIND_OF_NO_ANSWER = ['broken', 'not-sent']

/**
 * Has a target write what is planned while requests are sent to it one after the other, by way of its pool, and checks after each one
 * that its caller got the first answer that the target wrote for it, or none, and that nobody waits in vain.
 *
 * @throws AssertionError
 */
export async function runExchangePlan (target: SteppedTarget, port: number, plan: readonly PlannedExchange[]): Promise<PlanOutcome> {
  let now = 0
  const memory = new MessageMemory(Infinity)
  const parts = { codec, getNow: () => now, memory, observeUnsound: () => undefined, observeStray: () => undefined }
  const pool = new TargetPool(parts, { countOpened: () => undefined, observeConnect: () => undefined, observeFailure: () => undefined })
  const { entry } = makeTarget({ ip: '127.0.0.1', port })
  const lines: Line[] = []
  const ids: string[] = []
  const outcome: PlanOutcome = { results: [], openings: [] }
  let line: Line | undefined

  const acquire = async (id: string): Promise<Line> => {
    const opened = await pool.acquire(entry, 5_000, id)
    if (opened.kind === 'failed') throw new Error(`no connection: ${opened.failure}`)
    const { connection } = opened
    const known = lines.find((each) => each.connection === connection)
    outcome.openings.push(known === undefined)
    if (known !== undefined) return known
    const added: Line = { ends: await target.waitForConnection(), connection, sent: [], text: '', isDone: false }
    lines.push(added)
    return added
  }

  try {
    for (const exchange of plan) {
      if (line !== undefined) await write(target, line, encodeIdle(line, exchange), exchange.pieces)
      now += exchange.gapMs
      const id = ids.at(-(exchange.repeatedBack ?? ids.length + 1)) ?? `id-${ids.length}z`
      ids.push(id)
      line = await acquire(id)
      const sent: Sent = { id, method: exchange.method, at: line.text.length, first: undefined }
      line.sent.push(sent)
      const request = makeRequest({ id, method: exchange.method, body: Buffer.from(exchange.method === 'POST' ? 'order' : '') })
      let result: AttemptResult | undefined
      const finished = line.connection.exchange(request, codec.encodeHead(request, 't', 100)).then((each) => { result = each })
      await write(target, line, encodeAnswers(line, exchange.answers), exchange.pieces)
      if (exchange.end !== 'open') await target.finish(line.ends, exchange.end === 'reset')
      await new Promise((resolve) => { setImmediate(resolve) })
      if (result === undefined) {
        assert.not(line.connection.isClosed, `${id} waits on a closed connection`)
        assert.ok(readWaitPlainly(line.text, line.sent), `${id} waits in vain`)
        line.connection.close('deadline')
        await finished
      }
      check(result as unknown as AttemptResult, sent, line, exchange.end)
      outcome.results.push(result as unknown as AttemptResult)
    }
  } catch (error) {
    if (error instanceof Error && line !== undefined) error.message += `; on the connection: ${describeLine(line)}`
    throw error
  } finally {
    pool.closeAll('end of the test')
  }
  assert.is(memory.heldBytes, 0, `bytes are still held; on the connections: ${lines.map(describeLine).join(' | ')}`)
  return outcome
}

const write = async (target: SteppedTarget, line: Line, text: string, pieces: readonly number[]): Promise<void> => {
  line.text += text
  await target.write(line.ends, text, pieces)
}

const encodeIdle = (line: Line, { idleAnswers, idleEmptyLines }: PlannedExchange): string =>
  line.isDone || line.sent.length === 0 ? '' : '\r\n'.repeat(idleEmptyLines) + encodeAnswers(line, idleAnswers)

const encodeAnswers = (line: Line, answers: readonly PlannedAnswer[]): string => {
  let text = ''
  for (const answer of answers) {
    if (line.isDone) break
    const index = Math.max(0, line.sent.length - 1 - answer.back)
    const request = line.sent[index] as Sent
    const names = { own: request.id, other: (line.sent[index + 1] ?? line.sent[index - 1] ?? request).id, next: line.sent.at(-1)?.id ?? '' }
    const encoded = encodePlannedAnswer(answer, request.method, names)
    if (encoded.text === '') continue
    text += encoded.text
    if (request.first !== undefined) continue
    request.first = encoded
    line.isDone = !encoded.isWhole || encoded.isUnframed
  }
  return text
}

/** Describes what was sent on a connection and what its target wrote, in the order in which it arrived. */
const describeLine = ({ text, sent }: Line): string =>
  sent.map(({ id, method, at }, index) => `<${method} ${id}> ${JSON.stringify(text.slice(at, sent[index + 1]?.at))}`).join(' ')

const check = (result: AttemptResult, { id, first }: Sent, { connection }: Line, end: PlannedExchange['end']): void => {
  if (result.kind !== 'answered') {
    assert.ok(KIND_OF_NO_ANSWER.includes(result.kind))
    assert.ok(connection.isClosed, `${id} is ${result.kind}, and its connection stays open`)
    return
  }
  assert.ok(first !== undefined, `${id} got an answer that is not its own: its target wrote none for it`)
  assert.ok(first.isWhole, `${id} got an answer that was cut`)
  assert.ok(!first.isUnframed || end === 'closed', `${id} got an answer whose end did not come`)
  assert.equal({ status: result.head.status, body: result.body.toString('latin1') }, { status: first.status, body: first.body }, `${id} got an answer that is not its first one`)
}
