import { Hono } from 'hono'
import type { Context } from 'hono'
import { AlmondrelayError } from '../../process/errors/almondrelayError.js'
import { ErrorKind } from '../../process/errors/errorKind.js'
import { addResourceRoutes } from './addResourceRoutes.js'
import { addWatchRoute } from './addWatchRoute.js'
import { describeStatus } from './describeStatus.js'
import type { OperatorAppOptions } from './operatorAppOptions.js'

/** Creates the HTTP app of the operators' API; docs/architecture.md lists its calls. The signal ends pending long polls and writes. */
export function createOperatorApp (options: OperatorAppOptions, signal: AbortSignal): Hono {
  const app = new Hono()
  app.get('/v1/status', (context) => context.json(describeStatus(options)))
  app.use('/v1/*', async (context, next) => {
    if (options.store.isReady) return await next()
    context.header('Retry-After', '1')
    return context.json({ outcome: 'not-ready', message: 'this host has no configuration yet, and nothing was written: ask another host, or wait until the platform or a peer can be reached' }, 503)
  })
  addResourceRoutes(app, options, signal)
  addWatchRoute(app, options, signal)
  app.get('/v1/writes/:writeId', async (context) => context.json(await options.changeLog.findWrite(context.req.param('writeId'), signal)))
  app.get('/v1/account', async (context) => {
    const { since, until } = context.req.query()
    return context.json(await options.fetchAccount({ ...(since === undefined ? {} : { since }), ...(until === undefined ? {} : { until }) }, signal) as object)
  })
  app.notFound((context) => context.json({ outcome: 'rejected', problems: [{ path: 'path', found: context.req.path.slice(0, 80), remedy: 'use /v1/resources, /v1/writes, /v1/watch, /v1/status or /v1/account' }] }, 404))
  app.onError((error, context) => refuseError(error, context, options))
  return app
}

function refuseError (error: Error, context: Context, options: OperatorAppOptions): Response {
  options.log.error({ err: error, path: context.req.path }, 'operator call failed')
  if (!(error instanceof AlmondrelayError)) return context.json({ outcome: 'failed', message: 'this call failed inside the host: its log names the cause' }, 500)
  if (error.kind === ErrorKind.requestInvalid) return context.json({ outcome: 'rejected', problems: [{ path: 'spec', found: error.message, remedy: error.remedy }] }, 413)
  return context.json({ outcome: 'failed', kind: error.kind, message: error.message }, error.kind === ErrorKind.platformUnavailable ? 503 : 500)
}
