import type { Hono } from 'hono'
import type { Quarantine } from '../quarantine/quarantine.js'
import type { Suspect } from '../quarantine/suspect.js'

/** Adds routes that list the requests that were running when targets exited, and that release a request from quarantine. */
export function addQuarantineRoutes (app: Hono, quarantine: Quarantine, getNow: () => number): void {
  app.get('/v1/quarantine', (context) => context.json({ requests: quarantine.list().map((suspect) => describeSuspect(suspect, getNow())) }))
  app.delete('/v1/quarantine/:fingerprint', (context) => quarantine.release(context.req.param('fingerprint'), getNow())
    ? context.json({ outcome: 'released' })
    : context.json({ outcome: 'missing', message: 'no target is known to have ended under a request of this fingerprint: GET /v1/quarantine lists those that are' }, 404))
}

const describeSuspect = (suspect: Suspect, now: number): object => ({
  fingerprint: suspect.fingerprint,
  organisation: suspect.organisation,
  ends: suspect.countExits(),
  isQuarantined: suspect.isQuarantined,
  trials: suspect.trials,
  ...(suspect.isQuarantined ? { nextTrialMs: Math.max(0, Math.round(suspect.trialAt - now)) } : {})
})
