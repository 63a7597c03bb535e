import type { Context, Hono } from 'hono'
import { bodyLimit } from 'hono/body-limit'
import { computeResourceStatus } from '../../process/configuration/status/computeResourceStatus.js'
import { computeZoneStatuses } from '../../process/configuration/status/computeZoneStatuses.js'
import { MAX_VALUE_BYTES } from '../../process/configuration/maxValueBytes.js'
import { ResourceKind } from '../../version/resources/resourceKind.js'
import type { OperatorAppOptions } from './operatorAppOptions.js'
import { parseWrite } from './parseWrite.js'
import { sendWriteOutcome } from './sendWriteOutcome.js'

const RESOURCE_KINDS: readonly string[] = Object.values(ResourceKind)

/** Adds the routes that get, list, put and delete resources. */
export function addResourceRoutes (app: Hono, options: OperatorAppOptions, signal: AbortSignal): void {
  const { store, statusHooks } = options
  const listZones = () => computeZoneStatuses(options.listMembers(), store.current.revision)

  app.get('/v1/resources/:kind', (context) => {
    const kind = findKind(context)
    if (kind === undefined) return refuseKind(context)
    const zones = listZones()
    const resources = store.view.list(kind).map((resource) => ({ ...resource, status: computeResourceStatus(resource, zones, statusHooks) }))
    return context.json({ revision: store.current.revision, resources })
  })

  app.get('/v1/resources/:kind/:name', (context) => {
    const kind = findKind(context)
    if (kind === undefined) return refuseKind(context)
    const resource = store.view.get(kind, context.req.param('name'))
    if (resource === undefined) return context.json({ outcome: 'missing', revision: store.current.revision }, 404)
    context.header('ETag', `"${resource.revision}"`)
    return context.json({ ...resource, status: computeResourceStatus(resource, listZones(), statusHooks) })
  })

  const limitBody = bodyLimit({
    maxSize: MAX_VALUE_BYTES,
    onError: (context) => context.json({ outcome: 'rejected', problems: [{ path: 'spec', found: `more than ${MAX_VALUE_BYTES} bytes`, remedy: 'split the resource into several; each stays below a megabyte' }] }, 413)
  })
  const handleWrite = async (context: Context): Promise<Response> => await handleResourceWrite(context, options, signal)
  app.put('/v1/resources/:kind/:name', limitBody, handleWrite)
  app.delete('/v1/resources/:kind/:name', handleWrite)
}

async function handleResourceWrite (context: Context, options: OperatorAppOptions, signal: AbortSignal): Promise<Response> {
  const kind = findKind(context)
  if (kind === undefined) return refuseKind(context)
  const parsed = await parseWrite(context, kind, options.makeWriteId)
  if ('problems' in parsed) return context.json({ outcome: 'rejected', problems: parsed.problems }, 400)
  const { write } = parsed
  // Uses the signal of the process, not of the operator's connection: a write that has begun completes even if the operator disconnects.
  const outcome = await options.changeLog.submit(write, signal)
  options.log.info({ ...outcome, author: write.author, action: write.action, kind, resource: context.req.param('name') }, 'resource written')
  return sendWriteOutcome(context, outcome, write.expectedRevision !== undefined)
}

function findKind (context: Context): ResourceKind | undefined {
  const kind = context.req.param('kind') ?? ''
  return RESOURCE_KINDS.includes(kind) ? kind as ResourceKind : undefined
}

function refuseKind (context: Context): Response {
  const problem = { path: 'kind', found: (context.req.param('kind') ?? '').slice(0, 80), remedy: `use one of ${RESOURCE_KINDS.join(', ')}` }
  return context.json({ outcome: 'rejected', problems: [problem] }, 404)
}
