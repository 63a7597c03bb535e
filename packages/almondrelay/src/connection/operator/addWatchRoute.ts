import type { Hono } from 'hono'
import type { OperatorAppOptions } from './operatorAppOptions.js'

const MAX_WAIT_MS = 60_000
const MAX_CHANGES = 100

/** Adds the long-poll route that returns the changes after a revision. */
export function addWatchRoute (app: Hono, options: OperatorAppOptions, signal: AbortSignal): void {
  const { store } = options
  app.get('/v1/watch', async (context) => {
    const after = parseCount(context.req.query('after'), store.current.revision)
    const waitMs = parseCount(context.req.query('waitMs'), 0)
    if (after === undefined || waitMs === undefined) {
      const remedy = 'send after=<revision> and waitMs=<milliseconds> as whole numbers'
      return context.json({ outcome: 'rejected', problems: [{ path: 'query', found: context.req.url.slice(-80), remedy }] }, 400)
    }
    if (waitMs > 0) await waitForRevisionAfter(options, after, Math.min(waitMs, MAX_WAIT_MS), [signal, context.req.raw.signal])
    const retained = store.listChanges(after, MAX_CHANGES)
    const { revision } = store.current
    // The changes after this revision are no longer retained: the client must list the resources again.
    if (retained === undefined) return context.json({ revision, changes: [], isReset: true })
    return context.json({ revision: retained.at(-1)?.change.revision ?? revision, changes: retained.map((each) => each.change) })
  })
}

async function waitForRevisionAfter (options: OperatorAppOptions, after: number, waitMs: number, signals: AbortSignal[]): Promise<void> {
  const controller = new AbortController()
  const cancel = () => { controller.abort() }
  const timer = setTimeout(cancel, waitMs)
  for (const signal of signals) signal.addEventListener('abort', cancel, { once: true })
  if (signals.some((signal) => signal.aborted)) cancel()
  await options.store.waitAbove(after, controller.signal)
  clearTimeout(timer)
  for (const signal of signals) signal.removeEventListener('abort', cancel)
}

function parseCount (text: string | undefined, defaultValue: number): number | undefined {
  if (text === undefined) return defaultValue
  return /^\d{1,15}$/.test(text) ? Number(text) : undefined
}
