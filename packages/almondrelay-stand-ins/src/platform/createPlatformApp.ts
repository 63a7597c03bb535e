import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { PlatformHost } from 'almondrelay'
import { Hono } from 'hono'
import type { Context } from 'hono'
import { match } from 'ts-pattern'
import { ChangeSignal } from './changeSignal.js'
import { PlatformCallKind } from './platformCallKind.js'
import { PlatformControl } from './platformControl.js'
import { PlatformFaults } from './platformFaults.js'
import { PlatformStore } from './platformStore.js'

interface PlatformAppOptions {
  /** Lag of the host list, in milliseconds. */
  hostListLagMs?: number
  /** Ends the waits of watches and hanging calls. */
  signal: AbortSignal
  /** A monotonic clock in milliseconds. */
  readNow?: () => number
}

type Env = { Bindings: HttpBindings }
type Act = (context: Context<Env>) => Response | Promise<Response>

const DEFAULT_LAG_MS = 1_000
const MAX_VALUE_BYTES = 1_048_576
const MAX_LIST = 1_000
/** How often a waiting watch looks for lapsed leases. */
const LEASE_CHECK_MS = 50

/** The HTTP surface of the platform stand-in, with its control paths under `/control`. */
export function createPlatformApp (options: PlatformAppOptions): Hono<Env> {
  const readNow = options.readNow ?? (() => performance.now())
  const store = new PlatformStore()
  const control = new PlatformControl(options.hostListLagMs ?? DEFAULT_LAG_MS)
  const changes = new ChangeSignal()
  const app = new Hono<Env>()

  const serve = (kind: PlatformCallKind, act: Act) => async (context: Context<Env>): Promise<Response> => {
    const signal = AbortSignal.any([options.signal, context.req.raw.signal])
    return await match(control.decideCall(kind, readNow()))
      .with('refuse', () => dropConnection(context))
      .with('hang', async () => await keepUnanswered(context, signal))
      .with('limited', () => context.json({ error: 'over the rate limit' }, 429, { 'Retry-After': '1' }))
      .with('go', async () => {
        await control.sleepAsSlow(signal)
        const sequence = store.getSequence()
        const response = await act(context)
        if (store.getSequence() !== sequence) changes.notify()
        return control.takeLostAnswer(kind) ? dropConnection(context) : response
      })
      .exhaustive()
  }

  app.get('/v1/kv/:key', serve(PlatformCallKind.get, (context) => {
    const entry = store.get(requireKey(context), readNow())
    return entry === undefined ? context.json({ error: 'no such key' }, 404) : context.json(entry)
  }))
  app.put('/v1/kv/:key', serve(PlatformCallKind.put, async (context) => {
    const body = await context.req.json<{ value: string, expectedVersion: number, leaseId?: string }>()
    if (Buffer.byteLength(body.value) > MAX_VALUE_BYTES) return context.json({ error: 'the value is over a megabyte' }, 413)
    const result = store.put(requireKey(context), body.value, body.expectedVersion, body.leaseId, readNow())
    return context.json(result, result.stored ? 200 : 409)
  }))
  app.delete('/v1/kv/:key', serve(PlatformCallKind.delete, (context) => {
    const result = store.delete(requireKey(context), Number(context.req.query('expectedVersion')), readNow())
    return context.json(result, result.stored ? 200 : 409)
  }))
  app.get('/v1/kv', serve(PlatformCallKind.list, (context) => {
    const { prefix = '', after = '', limit } = context.req.query()
    return context.json({ entries: store.list(prefix, after, Math.min(Number(limit ?? MAX_LIST), MAX_LIST), readNow()) })
  }))
  app.get('/v1/watch', serve(PlatformCallKind.watch, async (context) => {
    const { prefix = '', afterSequence = '-1', waitMs = '0' } = context.req.query()
    const signal = AbortSignal.any([options.signal, context.req.raw.signal])
    // A watch from -1 only asks for the present sequence.
    const until = Number(afterSequence) < 0 ? 0 : readNow() + Number(waitMs)
    let result = store.readEvents(prefix, Number(afterSequence), readNow())
    while (result.events.length === 0 && readNow() < until && !signal.aborted) {
      await changes.wait(Math.min(LEASE_CHECK_MS, until - readNow()), signal)
      result = store.readEvents(prefix, Number(afterSequence), readNow())
    }
    // An outage that began while the watch waited takes its answer too.
    if (control.getFaults().outage === 'refuse') return dropConnection(context)
    if (control.getFaults().outage === 'hang') return await keepUnanswered(context, signal)
    return context.json(result)
  }))
  app.post('/v1/leases', serve(PlatformCallKind.grantLease, async (context) => {
    const { ttlMs } = await context.req.json<{ ttlMs: number }>()
    return context.json({ leaseId: store.grantLease(ttlMs, readNow()) })
  }))
  app.post('/v1/leases/:id/renew', serve(PlatformCallKind.renewLease, (context) => {
    return context.json({ renewed: store.renewLease(requireParameter(context, 'id'), readNow()) })
  }))
  app.delete('/v1/leases/:id', serve(PlatformCallKind.releaseLease, (context) => {
    store.releaseLease(requireParameter(context, 'id'))
    return context.body(null, 204)
  }))
  app.get('/v1/hosts', serve(PlatformCallKind.hosts, (context) => context.json({ hosts: control.hosts.list(readNow()) })))

  app.put('/control/hosts', async (context) => {
    const body = await context.req.json<PlatformHost[] | { hosts: PlatformHost[] }>()
    control.hosts.put(Array.isArray(body) ? body : body.hosts, readNow())
    return context.body(null, 204)
  })
  app.put('/control/faults', async (context) => {
    const faults = PlatformFaults.safeParse(await context.req.json())
    if (!faults.success) return context.json({ error: faults.error.message }, 400)
    control.setFaults(faults.data, readNow())
    return context.body(null, 204)
  })
  app.get('/control/counts', (context) => context.json(control.getCounts()))
  return app
}

function requireKey (context: Context<Env>): string {
  return requireParameter(context, 'key')
}

function requireParameter (context: Context<Env>, name: string): string {
  const value = context.req.param(name)
  if (value === undefined) throw new Error(`the path has no part '${name}'`)
  return value
}

function dropConnection (context: Context<Env>): Response {
  context.env.incoming.socket.destroy()
  return RESPONSE_ALREADY_SENT
}

/** Keeps the call unanswered until its caller gives up or the stand-in stops. */
async function keepUnanswered (context: Context<Env>, signal: AbortSignal): Promise<Response> {
  await new Promise<void>((resolve) => {
    if (signal.aborted) resolve()
    signal.addEventListener('abort', () => { resolve() }, { once: true })
  })
  return dropConnection(context)
}
