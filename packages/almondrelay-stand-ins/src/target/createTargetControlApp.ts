import type { HttpBindings } from '@hono/node-server'
import { Hono } from 'hono'
import type { Target } from './target.js'
import { TargetFaults } from './targetFaults.js'

/** The control port of a program that holds many targets; it answers also for a target that refuses connections. */
export function createTargetControlApp (targets: readonly Target[]): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>()
  const find = (name: string): Target | undefined => targets.find((target) => target.state.settings.name === name)

  app.get('/control/runs', (context) => {
    return context.json({ targets: Object.fromEntries(targets.map((target) => [target.state.settings.name, target.state.readRuns()])) })
  })
  app.get('/control/targets/:name/runs', (context) => {
    const target = find(context.req.param('name'))
    return target === undefined ? context.json({ error: 'no such target' }, 404) : context.json(target.state.readRuns())
  })
  app.put('/control/targets/:name/faults', async (context) => {
    const target = find(context.req.param('name'))
    if (target === undefined) return context.json({ error: 'no such target' }, 404)
    const faults = TargetFaults.safeParse(await context.req.json())
    if (!faults.success) return context.json({ error: faults.error.message }, 400)
    await target.setFaults(faults.data)
    return context.body(null, 204)
  })
  return app
}
