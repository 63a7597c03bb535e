import type { ClientGuardParts } from '../../connection/clients/clientGuardParts.js'
import type { Host } from './host.js'
import { ListenPort } from './listenPort.js'

/** Shares of the process's memory and descriptors that the clients of one port may take; targets need the remaining descriptors. */
const SHARES: Record<ListenPort, { memory: number, descriptors: number }> = {
  [ListenPort.caller]: { memory: 0.1, descriptors: 0.5 },
  [ListenPort.peer]: { memory: 0.1, descriptors: 0.1 },
  [ListenPort.operator]: { memory: 0.05, descriptors: 0.05 }
}
const MB = 1024 * 1024

/** Returns what bounds the clients of a port, from the limits in the settings. */
export function makeGuard (port: ListenPort, { settings: { limits }, log, metrics, clock }: Host): ClientGuardParts {
  const shares = SHARES[port]
  return {
    port,
    limits: { maxConnections: Math.floor(limits.maxDescriptors * shares.descriptors), maxHeldBytes: limits.memoryMb * MB * shares.memory, includesBodies: true },
    reportClosure: (closure) => {
      metrics.observeClosedClient(port, closure.reason)
      log.info(closure, 'connection of a client closed')
    },
    getNow: () => clock.getNow()
  }
}
