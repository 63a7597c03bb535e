import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { HeaderName } from 'almondrelay'
import { Hono } from 'hono'
import type { Context } from 'hono'
import { once } from 'node:events'
import { setTimeout as sleepFor } from 'node:timers/promises'
import { resetOrDestroy } from '../network/resetOrDestroy.js'
import { buildTargetAnswer } from './buildTargetAnswer.js'
import { LastAnswers } from './lastAnswers.js'
import { sendTargetAnswer } from './sendTargetAnswer.js'
import { TargetFaults } from './targetFaults.js'
import type { TargetState } from './targetState.js'

interface TargetAppOptions {
  state: TargetState
  /** Called after the fault switches have changed. */
  onFaults: (faults: TargetFaults) => void
  /** A monotonic clock in milliseconds. */
  readNow: () => number
}

type Env = { Bindings: HttpBindings }

/** Longest wait that a timer takes; stands for no deadline. */
const NO_DEADLINE_MS = 2_147_483_647

/** The HTTP surface of one target stand-in. */
export function createTargetApp ({ state, onFaults, readNow }: TargetAppOptions): Hono<Env> {
  const app = new Hono<Env>()
  const lastAnswers = new LastAnswers()

  app.use('*', async (context, next) => {
    const sendId = context.req.header(HeaderName.sendId)
    if (sendId !== undefined && !state.getFaults().withholdSendId) context.env.outgoing.setHeader(HeaderName.sendId, sendId)
    await next()
  })
  app.get('/control/runs', (context) => context.json(state.readRuns()))
  app.put('/control/faults', async (context) => {
    const faults = TargetFaults.safeParse(await context.req.json())
    if (!faults.success) return context.json({ error: faults.error.message }, 400)
    state.setFaults(faults.data, readNow())
    // Not before the answer is out: closing the port ends this connection too.
    context.env.outgoing.once('finish', () => { onFaults(faults.data) })
    return context.body(null, 204)
  })
  app.get('/health', async (context) => {
    if (state.getFaults().silent) return await keepUnanswered(context)
    return context.json(state.readReport(readNow()))
  })
  app.all('*', async (context) => {
    const faults = state.takeFaults()
    if (faults.silent) return await keepUnanswered(context)
    if (faults.repeatAnswer) lastAnswers.send(context.env.incoming.socket)
    const body = new Uint8Array(await context.req.arrayBuffer())
    const deadlineMs = Number(context.req.header('almondrelay-deadline') ?? NO_DEADLINE_MS)
    const requestId = context.req.header('idempotency-key')
    if (deadlineMs <= 0 || !state.begin({ requestId, operation: context.req.query('operation') }, faults, readNow())) return refuse(context)

    const workMs = context.req.query('workMs')
    const serviceMs = faults.slowFactor * state.sampleServiceMs(workMs === undefined ? undefined : Number(workMs), readNow())
    const end = await runWork(context, Math.min(serviceMs, deadlineMs), faults.resetAfterMs)
    if (end === 'cancelled') {
      state.finish('cancelled')
      return RESPONSE_ALREADY_SENT
    }
    if (serviceMs > deadlineMs) {
      state.finish('expired')
      return context.json({ error: 'the deadline passed while the request ran' }, 504)
    }
    state.finish('done')
    const answerBytes = faults.oversizedAnswer ?? Number(context.req.query('answerBytes') ?? 0)
    const answer = buildTargetAnswer({ requestId: requestId ?? '', target: state.settings.name, requestBody: body, answerBytes })
    if (faults.silentAfterRun) return await keepUnanswered(context)
    if (faults.repeatAnswer) lastAnswers.record(context.env.incoming.socket, { status: faults.status, body: Buffer.from(answer), sendId: readEcho(context) })
    return sendTargetAnswer(context.env.outgoing, answer, faults)
  })
  return app
}

/** The id that the answer echoes. */
function readEcho (context: Context<Env>): string | undefined {
  return context.env.outgoing.getHeader(HeaderName.sendId)?.toString()
}

function refuse (context: Context<Env>): Response {
  return context.json({ error: 'shed' }, 503, { 'Almondrelay-Not-Run': '1', 'Retry-After': '1' })
}

/** Works for so long; stops when the caller gives up. */
async function runWork (context: Context<Env>, workMs: number, resetAfterMs: number | undefined): Promise<'done' | 'cancelled'> {
  if (workMs === 0) return 'done'
  const { outgoing, incoming } = context.env
  const gone = new AbortController()
  const cancel = (): void => { gone.abort() }
  outgoing.once('close', cancel)
  const reset = resetAfterMs === undefined ? undefined : setTimeout(() => { resetOrDestroy(incoming.socket) }, resetAfterMs)
  const end = await sleepFor(workMs, 'done' as const, { signal: gone.signal }).catch(() => 'cancelled' as const)
  clearTimeout(reset)
  outgoing.off('close', cancel)
  return outgoing.destroyed ? 'cancelled' : end
}

/** Leaves the request without an answer until its connection ends. */
async function keepUnanswered (context: Context<Env>): Promise<Response> {
  const { outgoing } = context.env
  if (!outgoing.destroyed) await once(outgoing, 'close').catch(() => {})
  return RESPONSE_ALREADY_SENT
}
