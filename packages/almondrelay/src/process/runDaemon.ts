import { setMaxListeners } from 'node:events'
import type { Server } from 'node:http'
import bunyan from 'bunyan'
import { handleExchange } from '../connection/exchange/handleExchange.js'
import { handleFetchChanges } from '../connection/exchange/handleFetchChanges.js'
import { listenForHttp } from '../connection/listenForHttp.js'
import { createOperatorApp } from '../connection/operator/createOperatorApp.js'
import { createCallerApp } from '../connection/caller/createCallerApp.js'
import { createPeerHandlers } from '../connection/peer/createPeerHandlers.js'
import { listenForPeers } from '../connection/peer/listenForPeers.js'
import { BatchedOutput } from './daemon/batchedOutput.js'
import { buildHost } from './daemon/buildHost.js'
import type { Host } from './daemon/host.js'
import { closeHost } from './daemon/closeHost.js'
import { ListenPort } from './daemon/listenPort.js'
import { makeGuard } from './daemon/makeGuard.js'
import { releaseZone } from './daemon/releaseZone.js'
import { runTasks } from './daemon/runTasks.js'
import { stopHost } from './daemon/stopHost.js'
import type { HostSettings } from './settings/hostSettings.js'

/**
 * Runs an entry host until the signal aborts, then performs a planned stop. Resolves with the exit
 * code: 0 when every request has finished, 1 when the time limit of the stop cut off requests or a peer
 * refused this process.
 *
 * @throws AlmondrelayError of kind `settings-invalid` when a port can't be opened.
 */
export async function runDaemon (settings: HostSettings, signal: AbortSignal): Promise<number> {
  const output = new BatchedOutput((chunk) => { process.stdout.write(chunk) })
  process.once('exit', () => { output.flush() })
  const log = bunyan.createLogger({ name: 'almondrelayd', host: settings.host.name, streams: [{ level: settings.log.level, stream: output }] })
  const owner = new AbortController()
  const failure = new AbortController()
  setMaxListeners(0, owner.signal)
  const host = buildHost(settings, log, owner.signal, () => { if (!signal.aborted) failure.abort() })
  const servers = await openPorts(host, owner.signal)
  const tasks = runTasks(host, owner.signal)
  log.info({ incarnation: host.identity.incarnation, listen: settings.listen }, 'host started')
  await waitForAbort(AbortSignal.any([signal, failure.signal]))
  const unfinished = await stopHost(host, servers)
  await releaseZone(host)
  owner.abort()
  await tasks
  await closeHost(host)
  log.info({ unfinished }, 'host stopped')
  output.flush()
  return unfinished === 0 && !failure.signal.aborted ? 0 : 1
}

async function openPorts (host: Host, signal: AbortSignal): Promise<Server[]> {
  const { settings } = host
  await listenForPeers(settings.listen.peer, {
    ...createPeerHandlers(host),
    exchange: (request) => handleExchange(request, host.hub),
    fetchChanges: (request) => handleFetchChanges(request, host.hub)
  }, makeGuard(ListenPort.peer, host), signal)
  const operator = await listenForHttp(settings.listen.operator, createOperatorApp(host.operatorOptions, signal), makeGuard(ListenPort.operator, host))
  const caller = await listenForHttp(settings.listen.caller, createCallerApp({
    host: settings.host.name,
    services: host.services,
    handler: host.handler,
    lookups: host.lookups,
    recorder: host.answers,
    maxDeadlineMs: settings.requests.maxDeadlineMs
  }), makeGuard(ListenPort.caller, host))
  return [caller, operator]
}

function waitForAbort (signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve()
    signal.addEventListener('abort', () => { resolve() }, { once: true })
  })
}
