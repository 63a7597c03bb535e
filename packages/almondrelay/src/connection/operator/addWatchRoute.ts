import type { Hono } from 'hono'
import type { OperatorAppOptions } from './operatorAppOptions.js'

const LONGEST_WAIT_MS = 60_000
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
    if (waitMs > 0) await waitAbove(options, after, Math.min(waitMs, LONGEST_WAIT_MS), [signal, context.req.raw.signal])
    const kept = store.listChanges(after, MAX_CHANGES)
    const { revision } = store.current
    // The changes after this revision are no longer retained: the client must list the resources again.
    if (kept === undefined) return context.json({ revision, changes: [], isReset: true })
    return context.json({ revision: kept.at(-1)?.change.revision ?? revision, changes: kept.map((each) => each.change) })
  })
}

async function waitAbove (options: OperatorAppOptions, after: number, waitMs: number, signals: AbortSignal[]): Promise<void> {
  const wait = new AbortController()
  const cancel = () => { wait.abort() }
  const timer = setTimeout(cancel, waitMs)
  for (const signal of signals) signal.addEventListener('abort', cancel, { once: true })
  if (signals.some((signal) => signal.aborted)) cancel()
  await options.store.waitAbove(after, wait.signal)
  clearTimeout(timer)
  for (const signal of signals) signal.removeEventListener('abort', cancel)
}

function parseCount (text: string | undefined, absent: number): number | undefined {
  if (text === undefined) return absent
  return /^\d{1,15}$/.test(text) ? Number(text) : undefined
}
